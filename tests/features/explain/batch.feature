Feature: Decision histories of batch jobs and their items

  Scenario: The history of an item shows that it was preempted by online requests
    Given a batch fleet of 1 nodes and 1 endpoints
    When online requests of salina arrive while long items occupy all 8 slots
    Then an item's decision history from node 0 shows that it was claimed, yielded and ran again
    And the decision history of the job states that it was accepted and ended as completed

  Scenario: Retries and failed items are recorded with the endpoint and the reason
    Given a batch fleet of 2 nodes and 1 endpoints
    When every run ends with status 500 and a job of 2 items runs
    And the job has ended
    Then the decision history of its item 0.1 from node 1 states 2 retries and that it was given up

  Scenario: A cancel is recorded by the node that accepted it and by those that were notified
    Given a batch fleet of 2 nodes and 2 endpoints
    When a job of 400 slow items is cancelled at node 0 once 60 items were started
    And the job has ended
    Then the decision history of the job from node 1 states the cancel and the dropped items

  Scenario: A lost lease is recorded by the node that lost it and by the node that took over
    Given a batch fleet of 2 nodes and 2 endpoints
    When node 1 is paused during a job of 240 long items until node 0 has taken over segments
    Then that decision history reports node-1 as missing
    When node 1 is resumed
    Then the decision history of the job from node 0 states that node-1 lost its lease

  Scenario: The decision history of a job whose items all fail has a limited size and states this
    Given a batch fleet of 1 nodes and 1 endpoints
    When a job of 200 items for an unknown model runs
    Then its decision history has at most 16 given up items per segment, and the number omitted

  Scenario: The journal contains no bodies and no keys
    Given a batch fleet of 1 nodes and 1 endpoints
    When every run ends with status 500 and a job of 2 items runs
    And the job has ended
    Then no decision about the job contains an item's text or a key

  Scenario: The history of a quarantined item states that its content crashed endpoints
    Given a batch fleet of 2 nodes and 3 endpoints
    When a job contains 10 good items, 0 for a model that is not there and 1 that crash endpoints
    And the job has ended
    Then the decision history of its item 0.10 from node 1 states a crash and its quarantine

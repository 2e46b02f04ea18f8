Feature: Batch jobs through gateways on the platform

  Scenario: A job runs, and is read alike at every gateway
    Given 3 gateways and 2 runners
    When a job of 12 items is submitted at gateway 0
    Then it is accepted
    And within 8 seconds all items are completed at every gateway
    And every result has the data of events 1 to 6
    And a read from position 5 begins with the sixth result

  Scenario: A repeated submission is the same job
    Given 2 gateways and 1 runner
    When a job of 4 items is submitted at gateway 0
    And the same job is submitted again at gateway 1
    Then it is accepted
    And within 8 seconds all items are completed at every gateway
    And no item ran twice

  Scenario: A gateway killed right after it accepted a job
    Given 3 gateways and 2 runners
    When a job of 8 items is submitted at gateway 0
    And gateway 0 is killed
    Then within 15 seconds all items are completed at gateway 1

  Scenario: A frozen gateway wakes after another has taken its job over
    Given 2 gateways and 2 slow runners
    When a job of 24 items is submitted at gateway 0
    And gateway 0 is frozen until gateway 1 has listed 8 results more
    Then gateway 0 shows at least as many results as gateway 1 did

  Scenario: A gateway that wakes leaves others' jobs to them, and shows no older list
    Given 2 gateways and 2 slow runners
    When a job of 24 items is submitted at gateway 1
    And gateway 0 is frozen for 4 seconds
    Then for 4 seconds gateway 0 never shows fewer results than gateway 1

  Scenario: All gateways are killed right after a job was accepted
    Given 2 gateways and 2 runners
    When a job of 6 items is submitted at gateway 0
    And all gateways are killed and started again
    Then within 15 seconds all items are completed at every gateway

  Scenario: The answer to a job's creation is lost
    Given 2 gateways and 2 runners
    When the store loses the answers of the next 1 writes of "batch-jobs"
    And a job of 4 items is submitted at gateway 0
    Then it is accepted
    And within 15 seconds all items are completed at every gateway

  Scenario: The answer to a job's creation is lost, and a peer finds the job stored
    Given 2 gateways and 2 runners
    And the gateways have run for 3 seconds
    When the store loses the answers of the next 1 writes of "batch-jobs"
    And a job of 4 items is submitted at gateway 1
    Then it is accepted
    And within 4 seconds all items are completed at every gateway

  Scenario: Answers to the listing of results are lost
    Given 2 gateways and 2 runners
    When the store loses the answers of the next 3 writes of "batch-results"
    And a job of 8 items is submitted at gateway 0
    Then within 10 seconds all items are completed at every gateway
    And no item is listed twice

  Scenario: A gateway without a path to the store has a peer store the job
    Given 2 gateways, one more without a path to the store, and 1 runner
    When a job of 4 items is submitted at gateway 2
    Then it is accepted
    And within 10 seconds all items are completed at gateway 1

  Scenario: The store is down
    Given 2 gateways and 1 runner
    When the store is down
    And a job of 4 items is submitted at gateway 0
    Then it is refused as not run within 1 second
    When the store is back
    Then no item of it runs within 2 seconds

  Scenario: Jobs are accepted again soon after an outage of the store
    Given 2 gateways and 1 runner
    When the store is down
    And the store is back
    Then within 2 seconds a job is accepted at every gateway

  Scenario: Items that can't be done
    Given 1 gateway and 2 runners that answer 422 on "never" and 500 on "fails"
    When a job with an item "never", an item "fails" and 2 others is submitted
    Then within 10 seconds "never" and "fails" are given up, others done
    And "never" ran once and "fails" 3 times

  Scenario: An ended job stops, whoever holds it
    Given 2 gateways and 2 slow runners
    When a job of 40 items is submitted at gateway 0
    And the job is ended at gateway 1
    Then after 1 second no item of it starts

  Scenario: A job that does not exist, and another workspace's job
    Given 2 gateways and 1 runner
    Then the job "0123" is not found at gateway 0
    When a job of 2 items is submitted at gateway 0
    Then the workspace "other" does not find it

  Scenario: Waiting tokens are bounded over all gateways
    Given 2 gateways and 1 slow runner
    When jobs of 40,000 tokens are submitted at both gateways in turn
    Then 2 are accepted and the third is refused with 429

  Scenario: Bodies of items are told as they came
    Given 2 gateways and 1 slow runner
    When a job of 4 items is submitted at gateway 0
    Then the body of its last item is the same at every gateway

  Scenario: Online requests get room from batch items at the start of a peak
    Given 2 gateways and 2 slow runners
    When a job of 60 items is submitted at gateway 0
    And batch items fill the runners
    And 10 callers ask at once at gateway 1
    Then all 10 get their first event within 0.6 seconds
    And the items that made room go on after their last event

Feature: Batch jobs through gateways on the platform

  Scenario: A job runs, and every gateway returns the same results
    Given 3 gateways and 2 runners
    When a job of 12 items is submitted at gateway 0
    Then it is accepted
    And within 8 seconds all items are completed at every gateway
    And every result has the data of events 1 to 6
    And a read from position 5 begins with the sixth result

  Scenario: A repeated submission does not create a second job
    Given 2 gateways and 1 runner
    When a job of 4 items is submitted at gateway 0
    And the same job is submitted again at gateway 1
    Then it is accepted
    And within 8 seconds all items are completed at every gateway
    And no item ran twice

  Scenario: A gateway is killed right after it accepted a job
    Given 3 gateways and 2 runners
    When a job of 8 items is submitted at gateway 0
    And gateway 0 is killed
    Then within 15 seconds all items are completed at gateway 1

  Scenario: A suspended gateway resumes after another has taken over its job
    Given 2 gateways and 2 slow runners
    When a job of 60 items is submitted at gateway 0
    And gateway 0 is suspended until gateway 1 has listed 8 more results
    Then gateway 0 returns at least the results that gateway 1 returned

  Scenario: A resumed gateway adopts no jobs of others and returns no outdated results
    Given 2 gateways and 2 slow runners
    When a job of 24 items is submitted at gateway 1
    And gateway 0 is suspended for 4 seconds
    Then for 4 seconds gateway 0 never returns fewer results than gateway 1

  Scenario: All gateways are killed right after a job was accepted
    Given 2 gateways and 2 runners
    When a job of 6 items is submitted at gateway 0
    And all gateways are killed and restarted
    Then within 15 seconds all items are completed at every gateway

  Scenario: The response to a job's creation is lost
    Given 2 gateways and 2 runners
    When the store loses the responses to the next 1 writes of "batch-jobs"
    And a job of 4 items is submitted at gateway 0
    Then it is accepted
    And within 15 seconds all items are completed at every gateway

  Scenario: The response to a job's creation is lost, and a peer finds the stored job
    Given 2 gateways and 2 runners
    And the gateways have run for 3 seconds
    When the store loses the responses to the next 1 writes of "batch-jobs"
    And a job of 4 items is submitted at gateway 1
    Then it is accepted
    And within 4 seconds all items are completed at every gateway

  Scenario: Responses to writes of results are lost
    Given 2 gateways and 2 runners
    When the store loses the responses to the next 3 writes of "batch-results"
    And a job of 8 items is submitted at gateway 0
    Then within 10 seconds all items are completed at every gateway
    And no item is listed twice

  Scenario: A gateway that cannot reach the store has a peer store the job
    Given 2 gateways, one more that cannot reach the store, and 1 runner
    When a job of 4 items is submitted at gateway 2
    Then it is accepted
    And within 10 seconds all items are completed at gateway 1

  Scenario: A job is refused while the store is down
    Given 2 gateways and 1 runner
    When the store is down
    And a job of 4 items is submitted at gateway 0
    Then it is refused with 429 or 503 within 1 second
    When the store is up again
    Then no item of it runs within 2 seconds

  Scenario: Jobs are accepted again soon after an outage of the store
    Given 2 gateways and 1 runner
    When the store is down
    And the store is up again
    Then within 2 seconds a job is accepted at every gateway

  Scenario: Items that fail permanently or too often are given up
    Given 1 gateway and 2 runners that answer 422 on "never" and 500 on "fails"
    When a job with an item "never", an item "fails" and 2 others is submitted
    Then within 10 seconds "never" and "fails" are given up, others done
    And "never" ran once and "fails" 3 times

  Scenario: A job that is ended at another gateway stops
    Given 2 gateways and 2 slow runners
    When a job of 40 items is submitted at gateway 0
    And the job is ended at gateway 1
    Then after 1 second no item of it starts

  Scenario: Unknown jobs and jobs of other workspaces are not found
    Given 2 gateways and 1 runner
    Then the job "0123" is not found at gateway 0
    When a job of 2 items is submitted at gateway 0
    Then the workspace "other" cannot find it

  Scenario: Waiting tokens are limited over all gateways
    Given 2 gateways and 1 runner with long items
    When jobs of 40,000 tokens are submitted alternately at both gateways
    Then 2 are accepted and the third is refused with 429

  Scenario: The body of an item is returned unchanged
    Given 2 gateways and 1 slow runner
    When a job of 4 items is submitted at gateway 0
    Then the body of its last item is the same at every gateway

  Scenario: Online requests preempt batch items at the start of a load peak
    Given 2 gateways and 2 slow runners
    When a job of 60 items is submitted at gateway 0
    And batch items occupy the runners
    And 10 callers send requests to gateway 1 at the same time
    Then all 10 get their first event within 0.6 seconds
    And a preempted item is resumed after its last event

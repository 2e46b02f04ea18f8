Feature: Calls to the platform's store

  Scenario: Calls to the store are counted by kind
    Given 1 gateway and 1 runner
    When a job of 3 items is accepted at gateway 0, which watches the store
    And all items of the job are listed
    Then the metrics of gateway 0 count the calls that the store received for "batch-jobs, batch-parts, batch-results"

Feature: Calls to the platform's store

  Scenario: Calls to the store are counted by kind
    Given 1 gateway and 1 runner
    When a job of 3 items is accepted at gateway 0, which watches the store
    And all items of the job are listed
    Then the metrics of gateway 0 count the calls that the store received for "batch-jobs, batch-parts, batch-results"

  Scenario Outline: The price of an ended job hardly grows with the fleet
    Given <nodes> gateways and 1 runner
    When 5 jobs of 1 item are ended 1 second apart
    Then calls of at most <price> full prices were made for "batch-ends"

    Examples:
      | nodes | price |
      | 4     | 8     |
      | 12    | 12    |

  Scenario: Outdated reads of the store do not show a job yet
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "c" is cut off, and outdated reads of the store show no documents
    Then a read at "c" returns 1 result
    And an unknown job is not found at "c"

  Scenario: A job whose holder is unknown is found by an outdated read
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "c" is cut off
    Then a read at "c" returns 1 result, and reads the header by an outdated read

  Scenario: A quiet watch does not outlast the history of the store
    Given 1 gateway and 1 runner
    And a store that keeps 20 seconds of history
    When the configuration changes once, and other documents for 22 seconds
    Then at most 3 calls were made for "config", none of them a list
    And at most 13 outdated ones

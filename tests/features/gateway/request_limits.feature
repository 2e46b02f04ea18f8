Feature: Endpoints get no more requests a second than the limit that they name

  Scenario: A limit is logged and counted, and so is its end
    Given 1 gateway and 1 runner
    When runner 0 names a limit of 50.5 requests a second
    And 4 requests are sent one after the other at gateway 0
    And runner 0 names no limit any more
    And 2 requests are sent one after the other at gateway 0
    Then the log of gateway 0 has the request limits 50.5 and none of runner 0
    And the metrics of gateway 0 count 1 named limit and 1 ended limit

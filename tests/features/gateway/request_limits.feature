Feature: Endpoints get no more requests a second than the limit that they name

  Scenario: A limit is logged and counted, and so is its end
    Given 1 gateway and 1 runner
    When runner 0 names a limit of 50.5 requests a second
    And 4 requests are sent one after the other at gateway 0
    And runner 0 names no limit any more
    And 2 requests are sent one after the other at gateway 0
    Then the log of gateway 0 has the request limits 50.5 and none of runner 0
    And the metrics of gateway 0 count 1 named limit and 1 ended limit

  Scenario: A limited endpoint gets more requests of all gateways than it takes
    Given 3 gateways and 3 runners
    When runners 0 and 1 name a limit of 2.5 requests a second
    And callers send 24 requests a second for 9 seconds at all gateways
    Then all requests are answered
    And runners 0 and 1 get at least 1 and at most 2.5 requests a second

  Scenario: Items and resumed streams exceed the limit of an endpoint
    Given 3 gateways and 3 runners of which the last breaks each stream
    When runners 0 and 1 name a limit of 3 requests a second
    And callers send 3 streams a second for 4 seconds at all gateways
    And a job of 60 items is submitted at gateway 1
    And callers send 3 streams a second for 9 seconds at all gateways
    Then 9 of 10 streams are complete
    And runners 0 and 1 get at least 1 and at most 3 requests a second
    And within 60 seconds all items are completed at gateway 0

  Scenario: Requests beyond the limits of all endpoints wait instead of a refusal
    Given 3 gateways and 2 runners
    When runners 0 and 1 name a limit of 4 requests a second
    And callers send 24 requests a second for 9 seconds at all gateways
    Then from 3 seconds on all other requests are refused within 0.3 seconds
    And runners 0 and 1 get at least 2 and at most 4 requests a second

  Scenario: An endpoint whose limit has ended gets as few requests as before
    Given 3 gateways and 2 runners
    When runners 0 and 1 name a limit of 0.5 requests a second
    And callers send 12 requests a second for 4 seconds at all gateways
    And runners 0 and 1 name no limit any more
    And callers send 12 requests a second for 6 seconds at all gateways
    Then the last 24 requests are answered

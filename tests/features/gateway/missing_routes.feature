Feature: Items of a job whose route is missing from the configuration

  A gateway that has not read the newest configuration gives up no item, since the route
  may be back.

  Scenario: Items are given up once their route is missing for good
    Given 1 gateway and 1 slow runner
    When a job of 30 items is submitted at gateway 0
    And the route of jobs is removed
    Then within 10 seconds each item is listed, and some are given up

  Scenario: The route is back before the store answers again
    Given 1 gateway and 1 slow runner
    When a job of 30 items is submitted at gateway 0
    And the route of jobs is removed
    And it is back in the store, which is down for 5 seconds
    Then within 15 seconds all items are completed at every gateway

  Scenario: The route is back while the gateway is frozen
    Given 1 gateway and 1 slow runner
    When a job of 30 items is submitted at gateway 0
    And the route of jobs is removed
    And it is back when a freeze of 5 seconds ends, but the store answers a second later
    Then within 15 seconds all items are completed at every gateway

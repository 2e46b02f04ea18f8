Feature: Items under which endpoints crashed are still run

  Scenario Outline: An item under which <crashes> endpoints crashed completes in the calm
    Given 2 gateways and <runners> runners that crash <crashes> times on "unlucky"
    When a job of 3 items and an "unlucky" one is submitted at gateway 0
    And all the crashes have happened
    Then within 5 seconds of the last crash "unlucky" runs again
    And within 8 seconds all items are completed at every gateway
    And every result has the data of events 1 to 12

    Examples:
      | runners | crashes |
      | 3       | 5       |
      | 1       | 4       |

  Scenario: The holder of an unlucky item's job is killed within the crashes
    Given 2 gateways and 2 runners that crash 5 times on "unlucky"
    When a job of 3 items and an "unlucky" one is submitted at gateway 0
    And gateway 0 is killed after 3 crashes
    And all the crashes have happened
    Then within 5 seconds of the last crash "unlucky" runs again
    And within 8 seconds all items are completed at gateway 1

  Scenario: Every endpoint crashes under the items of a job
    Given 2 gateways and 3 runners that crash 12 times on "batch"
    When a job of 12 items is submitted at gateway 0
    And all the crashes have happened
    Then within 5 seconds of the last crash every unfinished item runs again
    And within 12 seconds all items are completed at every gateway

  Scenario: Items start again after any burst of crashes, in small and large fleets
    Then 4 seconds after any of 1000 bursts of crashes all items can be started

  Scenario: An item whose placement raised an exception starts again
    Given an item runner whose next placement raises an exception
    When a job of 2 items is held
    Then within 5 seconds it has 2 completed items

  Scenario: An item whose thread could not be started starts again
    Given an item runner that cannot start threads for 2 items
    When a job of 2 items is held
    Then within 5 seconds it has 2 completed items
    And no request counts as in flight

  Scenario: A job that is adopted again while a run of it lasts completes
    Given an item runner whose job is released to a peer during the first placement
    When a job of 1 item is held
    And it is adopted again beside a job of 4 items while its item runs
    Then within 8 seconds it has 1 completed item

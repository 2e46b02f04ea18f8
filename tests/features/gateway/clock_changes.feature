Feature: The time of day may be set while gateways run or before they start again

  # Peers ignored the states of a gateway whose start time was before its last one.
  Scenario Outline: A gateway starts again after its clock was set back
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "<name>" starts again with its clock set back by <seconds> seconds
    And gossip goes on for 3 seconds
    Then all gateways know each other
    And a job that is stored at "<name>" is held by no other gateway for 6 s

    Examples:
      | name | seconds |
      | b    | 0       |
      | b    | 5       |
      | b    | 900     |
      | c    | 30      |

  # All waiting items were listed as dead letters at once, for good.
  Scenario: The clock of a gateway is set forward beyond the retention of its items
    Given an item runner whose route retains items for 60 seconds
    When a job of 40 items that was submitted 0 seconds ago is held
    And its clock is set forward by 120 seconds
    Then no item is given up within 1 second

  Scenario: Items are given up at the end of their retention
    Given an item runner whose route retains items for 1 seconds
    When a job of 60 items that was submitted 0 seconds ago is held
    Then all items that do not run are given up within 3 seconds

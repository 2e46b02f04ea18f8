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

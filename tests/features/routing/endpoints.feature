Feature: Endpoints leave, crash and restart under load

  Scenario Outline: An endpoint leaves, announced by <way>
    Given a fleet of 3 nodes and 4 endpoints without rates
    And 12 callers keep sending ordinary requests to all nodes
    When the endpoint runner-1 is marked as leaving by <way>
    Then it starts no run later than 3 seconds after the mark
    And every ordinary request was answered

    Examples:
      | way      |
      | list     |
      | refusal  |
      | operator |

  Scenario: An endpoint is killed under load and restarted
    Given a fleet of 3 nodes and 4 endpoints without rates
    And 12 callers keep sending ordinary requests to all nodes
    When the endpoint runner-1 is killed and restarted 2 seconds later
    Then it gets requests again within 10 seconds
    And every ordinary request was answered

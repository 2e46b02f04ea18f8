Feature: The scenarios are divided among processes that start the longest first

  Scenario: Each scenario runs once, however its feature is divided
    Then for any features and estimates each scenario is in one part

  Scenario Outline: The longest parts start first, features without estimate before them
    When features of "<scenarios>" scenarios have estimates of "<seconds>" s
    Then the parts start in the order "<order>"

    Examples:
      | scenarios | seconds   | order |
      | 5 6 7     | 10 30 20  | 6 7 5 |
      | 5 6 7     | 10 30 no  | 7 6 5 |
      | 8 3       | 80 42     | 3 4 4 |
      | 2 9       | 400 44    | 1 1 9 |

  Scenario: Processes that need the processors have fewer beside them
    Then for any parts those at work fit into the processors or one is alone

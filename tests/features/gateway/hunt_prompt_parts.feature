Feature: The hunt's checks of requests with a part that crashes runners

  # In the records a part crashes five runners from 3.1 to 3.5 s; gateways refuse requests
  # with it until 18 s.
  Scenario Outline: The check of parts finds a day that breaks a rule
    Given the records of a day that kept the rules
    And a part of prompts that crashed 5 runners
    When <change>
    Then the rule "<rule>" is broken, and no other

    Examples:
      | rule    | change                                                             |
      | BUDGET  | 4 requests with the part reach runners 3.1 s after the fifth crash |
      | BUDGET  | 1 request with the part reaches 4 runners 8 s after the fifth crash |
      | LOST    | sound requests get 503 from 6 to 12 s after the fifth crash        |
      | LOST    | sound requests get 429 from 6 to 12 s after the fifth crash        |
      | CRASHES | no runner crashes under the part                                   |

  Scenario Outline: The check of parts finds no rule broken where one is excused
    Given the records of a day that kept the rules
    And a part of prompts that crashed 5 runners
    When <excused>
    Then no rule is broken

    Examples:
      | excused                                                                |
      | 3 requests with the part reach runners 3.1 s after the fifth crash     |
      | 9 requests with the part reach runners 2.9 s after the fifth crash     |
      | 9 requests reach runners 8 s after the fifth crash, from a gateway killed 2 s before |
      | 9 requests with the part reach runners 8 s after the fourth crash, the last one |
      | sound requests get 503 from 0 to 5.9 s after the fifth crash           |
      | sound requests get 503 from 14.6 to 18 s after the fifth crash         |
      | sound requests get 429 from 6 to 12 s after the fifth crash, and 1 of 10 outside |

  Scenario: The check of parts counts from the last crash if there are fewer than five
    Given the records of a day that kept the rules
    And a part of prompts that crashed 2 runners
    When sound requests get 503 from 6 to 12 s after the last crash
    Then the rule "LOST" is broken, and no other

  Scenario: A day's figures tell the crashes by part and the share of sound refusals
    Given the records of a day that kept the rules
    And a part of prompts that crashed 5 runners
    When 2 requests with the part reach runners 3.1 s after the fifth crash
    And sound requests get 503 from 0 to 3 s after the fifth crash
    Then the figures are 5 crashes in 3.5 s, 2 late requests and 12% of sound ones refused

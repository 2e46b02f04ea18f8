Feature: Requests with a prompt part that crashes endpoints are refused, sound ones are not

  # A part crashed one to two endpoints a second, since no two of its requests are alike.
  Scenario Outline: Blaming whole requests stops no culprit at <rate> requests a second
    Given a simulated fleet of 9 nodes and 5 endpoints
    And nodes that blame whole requests
    And 1 culprit parts at position 1 of <rate> requests a second
    When 3 seeds are played
    Then more than three requests with a culprit are sent after it must be known

    Examples:
      | rate |
      | 1    |
      | 10   |

  Scenario Outline: A culprit of <rate> requests a second at <nodes> nodes is refused
    Given a simulated fleet of <nodes> nodes and 5 endpoints
    And 1 culprit parts at position <position> of <rate> requests a second
    And culprits for <seconds> seconds
    When 20 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

    Examples:
      | nodes | rate | position | seconds |
      | 7     | 0.5  | 1        | 90      |
      | 9     | 2    | 0        | 40      |
      | 9     | 10   | 2        | 40      |

  Scenario: Two culprits are refused while most endpoints crash for another cause
    Given a simulated fleet of 9 nodes and 5 endpoints
    And 2 culprit parts at position 1 of 4 requests a second
    And 0.6 of the endpoints crash for another cause after 1 seconds
    When 20 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

  Scenario: A culprit is refused while the endpoints are replaced
    Given a simulated fleet of 9 nodes and 5 endpoints
    And 1 culprit parts at position 1 of 4 requests a second
    And the endpoints are replaced one after the other
    When 20 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

  Scenario: A culprit that is sent for longer than a blame lasts is refused to the end
    Given a simulated fleet of 9 nodes and 5 endpoints
    And 1 culprit parts at position 1 of 3 requests a second
    And culprits for 200 seconds
    When 3 seeds are played
    Then at most three requests with each culprit are sent after it must be known

  Scenario: Endpoints that crash again and again for another cause blame no part
    Given a simulated fleet of 9 nodes and 5 endpoints
    And all endpoints crash every 4 seconds for another cause
    When 20 seeds are played
    Then at most 1 % of the sound requests are refused for a part

  Scenario Outline: A large fleet refuses a culprit of <rate> requests a second
    Given a simulated fleet of 51 nodes and 30 endpoints
    And 1 culprit parts at position 1 of <rate> requests a second
    When <seeds> seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

    Examples:
      | rate | seeds |
      | 2    | 3     |
      | 10   | 3     |

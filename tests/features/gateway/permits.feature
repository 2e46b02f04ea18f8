Feature: All nodes together keep to an endpoint's limit of requests a second

  Scenario Outline: <nodes> nodes share a limit of <limit> requests a second
    Given a simulated fleet of <nodes> nodes and an endpoint with a limit of <limit>
    When requests arrive at <factor> times the limit for 30 seconds
    Then no 4 seconds have more requests than the rule allows
    And at least <part> of the limit was used

    Examples:
      | nodes | limit | factor | part |
      | 3     | 0.3   | 5      | 0.5  |
      | 3     | 2.5   | 4      | 0.8  |
      | 9     | 1.8   | 10     | 0.8  |
      | 9     | 37.25 | 2      | 0.8  |
      | 51    | 2.2   | 20     | 0.8  |
      | 51    | 0     | 50     | 0    |
      | 400   | 3.7   | 50     | 0.8  |
      | 400   | 180.5 | 3      | 0.8  |

  Scenario Outline: Nodes <change> while <nodes> nodes share a limit of <limit>
    Given a simulated fleet of <nodes> nodes and an endpoint with a limit of <limit>
    When requests arrive at 10 times the limit while <change>
    Then no 4 seconds have more requests than the rule allows
    And at least <part> of the limit was used

    Examples:
      | nodes | limit | change                                | part |
      | 3     | 2.5   | nodes start and are killed            | 0.4  |
      | 9     | 2.9   | nodes start and are killed            | 0.4  |
      | 51    | 2.2   | nodes start and are killed            | 0.2  |
      | 400   | 40.5  | nodes start and are killed            | 0.2  |
      | 9     | 2.9   | the granter hangs and goes on         | 0.4  |
      | 51    | 7.25  | the granter hangs and goes on         | 0.2  |
      | 400   | 2.5   | the granter hangs and goes on         | 0.2  |
      | 9     | 2.9   | the fleet is split and joined again   | 0.4  |
      | 51    | 7.25  | the fleet is split and joined again   | 0.2  |
      | 400   | 40.5  | the fleet is split and joined again   | 0.2  |
      | 3     | 0.4   | the fleet is split and joined again   | 0.2  |

  Scenario Outline: A fleet of <nodes> real coordinators keeps to the limits of endpoints
    Given a fleet of <nodes> nodes and 20 endpoints of which 14 name limits of 2.2 to 3.2
    When a workspace sends 100 requests per second for 16 seconds
    Then no limited endpoint gets more in 4 seconds than the rule allows
    And the limited endpoints together used at least 0.5 of their limits
    And the other endpoints got requests too

    Examples:
      | nodes |
      | 5     |
      | 51    |

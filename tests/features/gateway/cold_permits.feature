Feature: All nodes together keep to the rate of a cold endpoint

  Scenario Outline: <nodes> nodes share a cold rate of <rate>, <overshoot>, <slack>
    Given a simulated fleet of <nodes> nodes and an endpoint that is cold at <rate>, <overshoot> and <slack>
    When requests arrive at many times the cold rate for 30 seconds
    Then no second has more requests than the cold endpoint takes
    And at least <part> of the cold rate was used

    Examples:
      | nodes | rate | overshoot | slack | part |
      | 3     | 8.5  | 1.5       | 5     | 0.75 |
      | 20    | 8.5  | 1.5       | 5     | 0.75 |
      | 61    | 8.5  | 1.5       | 5     | 0.75 |
      | 61    | 0.4  | 1.5       | 5     | 0.75 |
      | 61    | 0.4  | 1         | 0     | 0    |
      | 3     | 1    | 1         | 0     | 0.75 |
      | 3     | 8.5  | 1         | 0     | 0.7  |
      | 20    | 3    | 1.5       | 0     | 0.75 |
      | 61    | 60   | 1.2       | 0     | 0.75 |

  Scenario Outline: Nodes <change> while <nodes> nodes share a cold rate of <rate>
    Given a simulated fleet of <nodes> nodes and an endpoint that is cold at <rate>, <overshoot> and <slack>
    When requests arrive at many times the cold rate while <change>
    Then no second has more requests than the cold endpoint takes
    And at least <part> of the cold rate was used

    Examples:
      | nodes | rate | overshoot | slack | change                              | part |
      | 3     | 8.5  | 1.5       | 5     | nodes start and are killed          | 0.2  |
      | 20    | 8.5  | 1.5       | 5     | nodes start and are killed          | 0.1  |
      | 61    | 8.5  | 1.5       | 5     | nodes start and are killed          | 0.1  |
      | 61    | 8.5  | 1         | 0     | nodes start and are killed          | 0.05 |
      | 3     | 8.5  | 1.5       | 5     | the granter hangs and goes on       | 0.2  |
      | 20    | 8.5  | 1.5       | 5     | the granter hangs and goes on       | 0.1  |
      | 61    | 8.5  | 1.5       | 5     | the granter hangs and goes on       | 0.1  |
      | 61    | 40   | 1.1       | 0     | the granter hangs and goes on       | 0.05 |
      | 3     | 8.5  | 1.5       | 5     | the fleet is split and joined again | 0.2  |
      | 20    | 8.5  | 1.5       | 5     | the fleet is split and joined again | 0.1  |
      | 61    | 8.5  | 1.5       | 5     | the fleet is split and joined again | 0.1  |
      | 61    | 40   | 1.1       | 0     | the fleet is split and joined again | 0.05 |

  Scenario Outline: <nodes> real coordinators use the rate of a cold endpoint
    Given a fleet of <nodes> nodes and 4 endpoints of which one is cold at 8.5
    When callers send 300 requests a second for 20 seconds to the fleet
    Then the cold endpoint gets at least 0.75 of its rate, and no more than it takes
    And requests were refused, since the others were full

    Examples:
      | nodes |
      | 3     |
      | 20    |
      | 61    |

  Scenario Outline: The granter of a cold endpoint is <change> in a fleet of 20 nodes
    Given a fleet of 20 nodes and 4 endpoints of which one is cold at 8.5
    When callers send 300 requests a second for 10 seconds to the fleet
    And the node that grants the permits is <change>
    And callers send 300 requests a second for 24 seconds to the fleet
    Then the cold endpoint gets at least 0.4 of its rate, and no more than it takes

    Examples:
      | change    |
      | killed    |
      | restarted |

  Scenario Outline: An endpoint is cold and names a limit to <nodes> nodes
    Given a fleet of <nodes> nodes and 4 endpoints of which one is cold at 8.5 and names a limit of 2.5
    When a workspace sends 200 requests per second for 16 seconds
    Then no limited endpoint gets more in 4 seconds than the rule allows
    And no second has more requests at it than a cold endpoint takes
    And the limited endpoints together used at least 0.5 of their limits

    Examples:
      | nodes |
      | 3     |
      | 20    |

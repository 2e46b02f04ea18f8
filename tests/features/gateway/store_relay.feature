Feature: Few gateways of a large fleet follow the store

  # Each gateway watched configuration and endpoints by itself, with two guards a kind:
  # calls to the store cost 0.091 of a quiet day's worth with 165 gateways.
  Scenario: Three gateways of a failure domain follow the store for the others
    Given 15 gateways and 1 runner, with an entrance of the store for each gateway
    When three gateways follow the store and all others rely on them
    And nothing changes for 10 seconds
    Then the calls for configuration and endpoints cost at most 12 full prices
    When the configuration changes
    Then all gateways know it within 2 seconds
    When the runner is removed from the store
    Then all gateways know it within 2 seconds

  # Each of the endpoints that register as a fleet starts took a call of each gateway.
  Scenario: A gateway that starts relies on others soon
    Given 15 gateways and 1 runner, with an entrance of the store for each gateway
    When three gateways follow the store and all others rely on them
    And a gateway that relies on others is killed and started again
    Then it relies on others within 2.5 seconds of being ready

  # A node that asks followers while it watches the store had a removed endpoint again.
  Scenario: An answer to a watch that is older than what a peer told changes nothing
    Given a watcher that a peer tells of a removal before an older answer is applied
    Then the watcher has told of the removal last

  # It relied on others from then on, and never noticed that the store answered it again.
  Scenario: A gateway that the store refuses alone notices when it is served again
    Given 15 gateways and 1 runner, with an entrance of the store for each gateway
    When three gateways follow the store and all others rely on them
    And one that relies on others starts again while the store refuses it for 6 seconds
    Then it knows that it reaches the store within 5 seconds

  Scenario Outline: Changes are known in time when <followers> followers are <change>
    Given 15 gateways and 1 runner, with an entrance of the store for each gateway
    When three gateways follow the store and all others rely on them
    And <followers> of them are <change>, and the configuration changes <delay> seconds later
    Then all gateways that run and reach the store know it within <seconds> seconds

    Examples:
      | followers | change                   | delay | seconds |
      | 1         | killed                   | 0.1   | 2       |
      | 3         | killed                   | 0.1   | 2       |
      | 1         | suspended                | 0.1   | 2       |
      | 3         | suspended                | 0.1   | 2.5     |
      | 2         | cut off from the store   | 0.1   | 2       |
      | 2         | refused by the store     | 2.0   | 2       |
      | 3         | refused by the store     | 0.1   | 4       |
      | 1         | stopped regularly        | 0.1   | 2       |

  Scenario: An outage of the store is noticed by the gateways that rely on others
    Given 15 gateways and 1 runner, with an entrance of the store for each gateway
    When three gateways follow the store and all others rely on them
    And the store refuses all calls
    Then all gateways know that the store is not reached within 4 seconds
    When the outage of the store ends
    And the configuration changes
    Then all gateways know it within 3 seconds
    And three gateways follow the store and all others rely on them

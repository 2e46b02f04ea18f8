Feature: The directory does not name instances that were lost some seconds ago

  # A state counted as young for 6 s after its arrival, also if it had been relayed for
  # seconds: in large fleets the directory named killed instances for 8 s and more.
  Scenario Outline: A killed instance is named for a bounded time in <nodes> nodes
    Given replays of gossip of <nodes> nodes in <domains> failure domains, by 4 seeds
    When <killed> of them are killed at a time
    Then no running node names a killed one <seconds> seconds after

    Examples:
      | nodes | domains | killed | seconds |
      | 7     | 3       | 1      | 6       |
      | 20    | 2       | 1      | 6       |
      | 61    | 4       | 1      | 6       |
      | 61    | 4       | 3      | 6       |

  # In a small fleet a peer counts as lost 1.5 s after its last state, also one that runs
  # while messages get lost. The bound on the age of states leaves out no other.
  Scenario: The bound on the age leaves out no live node of a small fleet
    Given replays of gossip of 7 nodes in 3 failure domains, by 8 seeds
    And one message in 10 is lost
    When 1 of them are killed at a time
    Then each answer names all running nodes that count as live

  # A tighter bound on the age of states must not leave out instances that run. When
  # several were lost, all others of their domain asked only these in their rounds.
  Scenario Outline: Running instances are named while messages get lost in <nodes> nodes
    Given replays of gossip of <nodes> nodes in <domains> failure domains, by 4 seeds
    And one message in 10 is lost
    When <killed> of them are killed at a time
    Then each answer names at least nine tenths of the running nodes

    Examples:
      | nodes | domains | killed |
      | 20    | 2       | 1      |
      | 61    | 4       | 1      |
      | 61    | 4       | 3      |
      | 61    | 7       | 3      |

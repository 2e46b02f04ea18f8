Feature: The directory names instances by the homes of a host

  Background:
    Given a node in "north" and peers in "north", "south", "west" and no known region

  Scenario Outline: A caller in <region> of a host with the homes <homes>
    When a caller in "<region>" asks for a host with the homes "<homes>"
    Then the answer has the instances in "<named>"

    Examples:
      | region | homes       | named       |
      | south  | south, west | south       |
      | north  | south, west | south, west |
      | none   | south, west | south, west |
      | north  | east        | north       |
      | none   | east        | all         |
      | east   | east        | all         |
      | south  |             | all         |

  Scenario: The failure domain tells the caller's region if the query does not
    When a caller in the failure domain of "south" asks for a host with the homes "south, west"
    Then the answer has the instances in "south"

  # Each change is logged, not each answer.
  Scenario: The directory logs which lost instances it leaves out
    When the peer in "south" is lost and callers ask 20 times
    Then a log line names it, and a second one when it runs again

  # Relayed states seemed as young as their arrival.
  Scenario: Messages of a large fleet tell the age of relayed states
    Given 20 gateways with a limit of waiting tokens
    When gossip goes on for 6 seconds, with a round each second
    Then their messages tell ages of other nodes' states, which reach the directory
    When one of them is killed
    And gossip goes on for 6 seconds, with a round each second again
    Then no directory of the others names it, and all name each other

  Scenario: Messages of a small fleet are as before
    Given 6 gateways with a limit of waiting tokens
    When gossip goes on for 6 seconds, with a round each second
    Then their messages tell no ages

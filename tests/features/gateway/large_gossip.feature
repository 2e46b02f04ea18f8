Feature: Gossip in large fleets costs little

  Scenario Outline: States spread over <nodes> nodes in <domains> domains
    Given a simulated fleet of <nodes> nodes in <domains> failure domains
    When they exchange states for 30 seconds
    Then each node's states are at most 6 seconds old at all others
    And a node begins at most <remote> exchanges a second with other domains

    Examples:
      | nodes | domains | remote |
      | 14    | 7       | 2.2    |
      | 66    | 4       | 0.7    |
      | 165   | 6       | 0.7    |

  # Each message was decoded and encoded anew by each node that relayed its states: two
  # thirds of the processor time of an idle gateway.
  Scenario: A gateway decodes and encodes few states a second
    Given 40 gateways with a limit of waiting tokens
    And gossip has settled
    When gossip goes on for 10 seconds, with a round each second
    Then a gateway decodes at most 1.5 and encodes at most 0.2 states a second of each of them

  # Its domain's gateways answered, so that it took its list of results for current while
  # others could take its jobs over.
  Scenario: A gateway of a failure domain that is cut off confirms results from the store
    Given 40 gateways of which 12 are in another failure domain
    And gossip has settled
    When that domain is cut off from the others for 5 seconds
    Then for its gateways others may have adopted jobs from 3 seconds after the cut on
    When gossip goes on for 3 seconds, with a round each second
    Then their contact has lasted since the cut ended

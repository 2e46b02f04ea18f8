Feature: Strict fleet-wide rate and burst limits

  Scenario Outline: No time window exceeds the limit during a long run of faults
    Given <nodes> limits machines on seed <seed>
    When 4 minutes of traffic and faults are simulated
    Then no time window admits more than burst and rate allow
    And requests were admitted

    Examples:
      | seed | nodes |
      | 1    | 8     |
      | 2    | 8     |
      | 3    | 8     |
      | 4    | 12    |
      | 5    | 12    |

  Scenario: Uneven traffic within the rate is not refused
    Given 8 limits machines in steady state
    When 60 s of traffic within the rate arrive, half of it at one node
    Then none of the traffic was refused
    And no time window admits more than burst and rate allow

  Scenario: Nodes without a share admit requests in a large fleet
    Given 48 limits machines in steady state
    When 60 s of traffic within the rate arrive, half of it at one node
    Then none of the traffic was refused
    And no time window admits more than burst and rate allow
    And at most 8 nodes own a share
    And all nodes together sent at most 56 polls per second

  Scenario: Nodes without a share find the new pool node
    Given 48 limits machines in steady state
    When the pool node of hays is killed under five times the rate
    Then nodes without a share admit requests again within 10 s
    And no time window admits more than burst and rate allow

  Scenario: A planned stop of a pool node barely reduces the rate of its groups
    Given 8 limits machines in steady state
    When the pool node of hays stops as planned under five times the rate
    Then hays gets 0.7 of its rate from 4 s to 10 s after the stop
    And no time window admits more than burst and rate allow

  Scenario: A leaving pool node is replaced at once, although it still answers polls
    Given 8 limits machines in steady state
    When the pool node of hays leaves but still answers polls
    Then one other node claims the group of hays in its next polls

  Scenario: A holder that re-enters the allotment is not confused with its old entry
    Given a holder whose renewal was written but its answer was lost
    When its entry is removed after a long outage and it re-enters
    Then a node that saw the renewal keeps the new entry

  Scenario: The platform is down for five minutes
    Given 8 limits machines in steady state
    When the platform is down for 300 s under five times the rate
    Then the fleet admitted at least 0.9 of the rate
    And no time window admits more than burst and rate allow

  Scenario: A pool node resumes after being frozen beyond its lease terms
    Given 8 limits machines in steady state
    When the pool node of hays is frozen for 10 s under five times the rate
    Then no time window admits more than burst and rate allow

  Scenario: A partitioned node without burst of its own names another entry
    Given 8 limits machines in steady state
    When a node without a share of pratt's burst is partitioned
    Then it refuses pratt and names the entry of the node with the share

  Scenario: A restarted node does not reuse its predecessor's share
    Given 8 limits machines in steady state
    When each node in turn is killed and restarted under five times the rate
    Then no time window admits more than burst and rate allow

  Scenario: Requests cause no platform calls
    Given 8 limits machines in steady state
    When 60 s of traffic within the rate arrive, half of it at one node
    Then the platform got no more calls than in 60 s without traffic

  Scenario: One of four nodes is killed and one is frozen while the platform is down
    Given a limited fleet of 4 nodes, hays at 20 requests per second and burst 10
    When hays sends five times its rate while nodes are frozen, killed and resumed
    Then the responses show no time window above burst and rate
    And hays was served before, during and after the faults

  Scenario: Nodes without a share serve limited requests
    Given a limited fleet of 10 nodes, hays at 20 requests per second and burst 10
    When each node has served a request of hays within 30 s
    Then each node serves 5 requests of hays within its rate

  Scenario: A pool node that answers late serves requests within the rate
    # Beside load, nodes without a share refused requests within the rate: the pool node
    # answered after more than 0.15 s.
    Given a node that waits 4 times as long for grants, and its pool node, which answers each request after 1 s
    Then 3 requests of hays in a row are admitted

  Scenario: A lost pool node holds up only the first of the requests in a row
    Given a node that waits 4 times as long for grants, and its pool node, which answers each request after 8 s
    Then a request of hays is refused after 1.6 to 5.6 s
    And then 3 requests of hays are refused within 1.6 s each
    When the pool node answers at once again
    Then a request of hays is admitted within 1 s

  Scenario: A connection between nodes is monitored only until it is established
    Given a node that issues grants over its peer server
    When another node connects to it and requests a grant
    Then it gets the grant and no thread of the connection remains

  Scenario: A pool node answers within 3 s after a long link failure ends
    Given a pool node behind a link
    When the link refuses connections for 18 s while a peer requests grants
    Then a grant arrives within 3 s after the link works again

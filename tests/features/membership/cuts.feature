Feature: Guarantees hold while connections between processes fail

  Scenario Outline: A node cut off from the platform and its peers refuses keys until it is reconnected
    Given an unlimited fleet of 4 nodes connected by links
    When a key for hays is made through node 0
    Then that key works on each node within 3 s
    When the links of node 3 to the platform and its peers <fault>
    Then within 3 s node 3 refuses keys as not run and names another entry
    And node 3 serves the route that is open to all
    And nodes 0 to 2 serve that key
    When the links are restored
    Then that key works on node 3 within 3 s of now
    When the key is withdrawn through node 1
    Then it is refused on each node within 3 s over the connections held open

    Examples:
      | fault  |
      | refuse |
      | stall  |

  Scenario Outline: A node cut off from <part> alone keeps serving and applies each change
    Given an unlimited fleet of 4 nodes connected by links
    When the links of node 3 to <part> <fault>
    And a key for hays is made through node 0
    Then that key works on each node within 3 s
    And each node serves that key for 4 s
    When the key is withdrawn through node 1
    Then it is refused on each node within 3 s over the connections held open
    When the links are restored
    Then the entries of node 0 have node 3 within 5 s

    Examples:
      | part         | fault  |
      | its peers    | refuse |
      | its peers    | stall  |
      | the platform | refuse |
      | the platform | stall  |

  Scenario Outline: Two regions are partitioned, with <platform>
    Given 4 nodes in two regions connected by links, hays at 20 requests per second and burst 10
    When hays sends five times its rate while the regions <fault> each other for 8 s, with <platform>
    Then the responses show no time window above burst and rate
    And hays was served before, during and after the partition
    And keys were served in <serving> and elsewhere refused as not run
    And the key made meanwhile works on each node within 3 s of the restoration

    Examples:
      | fault  | platform                | serving         |
      | refuse | a platform for both     | both regions    |
      | stall  | a platform for both     | both regions    |
      | refuse | a platform in the first | region yard-a   |
      | stall  | a platform in the first | region yard-a   |

  Scenario: A node that starts during a platform outage gets its configuration from its peers
    Given an unlimited fleet of 4 nodes connected by links
    When the platform becomes unavailable
    And node 4 starts with only the addresses of its peers
    Then the key of hays works on node 4 within 20 s
    And the key of hays works on node 4 for 4 s
    When the links of node 4 to the platform and its peers refuse
    Then after 3 s node 4 refuses the key of hays as not run for 2 s
    When the links are restored
    Then the key of hays works on node 4 within 3 s

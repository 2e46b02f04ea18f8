Feature: Replayed traces reproduce their recorded outcomes

  Scenario Outline: A recorded trace replays without divergence
    When the trace <name> is replayed on the command line
    Then <count> events reproduced their recorded outcomes

    Examples:
      | name                             | count |
      | restockers-morning               | 800   |
      | residency-panel                  | 800   |
      | restockers-morning-limitsmachine | 120   |
      | residency-panel-limitsmachine    | 120   |
      | restockers-morning-follower      | 60    |
      | residency-panel-follower         | 60    |

  Scenario: Recordings of limits and configuration of running nodes can be replayed
    Given a fleet of 2 nodes that records its decisions
    When workspace hays sends more than its burst through node 0
    And the recording nodes lose the platform for a while and are stopped
    Then the command line replays limitsmachine and follower of each node

  Scenario Outline: An altered trace is rejected with its first diverging event
    When a recorded outcome of <event> in the trace <name> is altered and it is replayed
    Then the command line fails and prints that event with both outcomes

    Examples:
      | name                             | event       |
      | restockers-morning               | submit      |
      | restockers-morning-limitsmachine | grant       |
      | residency-panel-limitsmachine    | answer_poll |
      | residency-panel-follower         | serve_until |

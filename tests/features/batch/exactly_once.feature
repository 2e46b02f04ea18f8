Feature: Each item completes exactly once, and its result remains readable

  Scenario: Random runs of claims with crashes, freezes, clock skew and lost responses
    Then 150 random jobs end with each segment committed once

  Scenario: Of two nodes that both believe they hold a segment, one commits
    Given a segment of 5 items claimed by node-a and then taken over by node-b
    When node-b commits its results and then node-a does
    Then the results of node-b are readable, and node-a detects that its claim is lost

  Scenario: A commit with an unknown outcome takes effect once
    Given a segment of 5 items claimed by node-a
    When node-a renews and commits while 4 updates end with an unknown outcome
    Then the results of node-a are readable

  Scenario: Results survive an outage of the platform
    Given a segment of 5 items claimed by node-a
    When node-a commits while the platform is down and again once it is up
    Then the first commit is to be retried
    And the results of node-a are readable

  Scenario: Results larger than a platform object are stored completely
    Given a segment of 5 items claimed by node-a
    When node-a commits results of 600000 random bytes each
    Then the results of node-a are readable

  Scenario: A released segment keeps the results of its previous holder
    Given a segment of 5 items claimed by node-a
    When node-a releases the segment with 3 results and node-b claims it
    Then node-b has 2 items left to run and commits 5 results

  Scenario: Nodes are killed and frozen beyond their leases with items in flight
    Given a batch fleet of 3 nodes and 2 endpoints
    When a job of 240 items runs while node 1 is killed and node 2 is frozen for 5 seconds
    Then the job ends as completed with 240 results, each item once
    And each result belongs to its item, and each item was run

  Scenario: The platform fails before, during and after commits of results
    Given a batch fleet of 2 nodes and 2 endpoints
    When a job of 160 items runs while the platform is down for 4 seconds and then loses 6 responses
    Then the job ends as completed with 160 results, each item once
    And each result belongs to its item, and each item was run

  Scenario: The platform fails at the start, during the commits and at the end of a job
    Given a batch fleet of 2 nodes and 2 endpoints
    When a job of 160 items runs with platform outages of 3 seconds at its start, after its first commit and at its end
    Then the job ends as completed with 160 results, each item once
    And each result belongs to its item, and each item was run

  Scenario: Unrepeatable items run at most once
    Given a batch fleet of 3 nodes and 2 endpoints with an unrepeatable model
    When a job of 120 items runs while node 1 is killed and node 2 is frozen for 5 seconds
    Then each of the 120 items has either one result or one outcome_unknown error
    And no item was run twice

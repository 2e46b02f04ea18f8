Feature: Batch work is shared fairly among workspaces and jobs

  Scenario: Random contenders get turns by tier and weight without starvation
    Then in 100 random schedules the turns follow tiers and weights

  Scenario: A small job is not delayed by large ones
    Given a batch fleet of 2 nodes and 2 endpoints
    When hays and salina have jobs of 6000 items, and dodge and salina submit jobs of 20 items
    Then both small jobs end within 25 seconds while the large ones are in progress

  Scenario: Paying work goes before trial work
    Given a batch fleet of 2 nodes and 2 endpoints
    When trial-a has a job of 4000 items at one node and hays submits 800 items at the other
    Then at least 9 in 10 items started in the middle half of the paying job are paying

  Scenario: A waiting trial item gives way to a paying item that is ready
    Given an item queue with a trial segment and a paying one
    Then a paying item goes before the trial segment, until all paying ones are taken
    And no item goes before the paying segment

  Scenario: The job due first has priority on both nodes
    Given a batch fleet of 2 nodes and 2 endpoints
    When hays has a job of 2000 items due in a day and submits 600 items due in an hour
    Then the job due first ends before half of the other job is done

Feature: Decisions of the gateway under load

  Scenario: Quotas hold while a workspace sends many times its rate to all nodes
    When 9 nodes that gossip every 0.2 s receive 8 times a rate of 18
    Then no window of 5 seconds admits more than the bound
    And at least nine tenths of the rate is admitted

  Scenario: A workspace exceeds its quota in a fleet whose gossip takes seconds
    Given a fleet of 51 nodes and a quota with a rate and burst of 28
    When a workspace sends 17 requests per second for 8 seconds
    Then none of them was refused
    When it sends 8 times its rate for 10 seconds
    Then no window of 5 seconds admits more than the bound of its quota
    And at least nine tenths of its rate was admitted

  Scenario: A new scheduler does not know what its predecessor admitted
    Given a fleet of 51 nodes and a quota with a rate and burst of 28
    When a workspace sends 17 requests per second for 8 seconds
    And it sends 8 times its rate for 5 seconds
    And the scheduler is killed
    And it sends 8 times its rate for 7 seconds
    Then no window of 5 seconds admits more than the bound of its quota
    And at least nine tenths of its rate was admitted

  Scenario: A restarted scheduler charges what was admitted long before
    Given a fleet of 51 nodes and a quota with a rate and burst of 28
    When a workspace sends 17 requests per second for 20 seconds
    And the scheduler is restarted
    And a workspace sends 17 requests per second for 12 seconds
    Then none of them was refused

  Scenario: Quotas hold during a network partition
    When 9 nodes are partitioned 3 from 6 and receive 8 times a rate of 18
    Then no window of 5 seconds admits more than the bound

  # Each version that named the workspace again gave it a whole burst.
  Scenario: A workspace is left out by every other version
    When a workspace is left out by every other version, 2 a second, with a burst of 60
    Then no window of 5 seconds admits more than the bound with this burst

  Scenario: Batch shares never exceed the allowance
    Then for any backlogs the shares sum to the smaller of allowance and backlog

  Scenario: Two writers of a job's result pages never change or repeat a result
    Then for any interleaving of two writers every reader sees an append-only list

  Scenario: Events do not depend on how the stream is split into chunks
    Then any split of a stream into chunks yields the same events

  Scenario: Gossip about crashes stays small after a burst of crashes
    When 60 nodes each observe 20 crashed requests and gossip them
    Then each node gossips its own 20 for 10 seconds, and none later
    And a request that crashed two endpoints is gossiped for 2 minutes

  Scenario: Requests placed by several nodes with outdated loads are spread out
    When 7 nodes place 60 requests at 9 endpoints without any gossip
    Then no endpoint has more than 12 of them

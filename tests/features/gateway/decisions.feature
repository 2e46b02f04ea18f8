Feature: Decisions of the gateway under the loads that they answer

  Scenario: Quotas hold while one workspace sends many times its rate everywhere
    When 9 nodes that hear of each other every 0.2 s are sent 8 times a rate of 18
    Then in no 5 seconds more than the bound is admitted
    And at least nine tenths of the rate is admitted

  Scenario: Quotas hold while the fleet is cut in two
    When 9 nodes are cut 3 from 6 while a workspace sends 8 times a rate of 18
    Then in no 5 seconds more than the bound is admitted

  Scenario: Shares of batch never exceed the allowance
    Then for any backlogs the shares add up to the smaller of allowance and backlog

  Scenario: Two writers of a job's pages never change or repeat a listed result
    Then for any order of two writers' steps every reader sees one growing list

  Scenario: Events are cut the same however the bytes arrive
    Then any partition of a stream gives the same events

  Scenario: News of crashes stays small after a bad minute
    When 60 nodes each see 20 requests broken off and tell each other of them
    Then each node tells of its own 20 for 10 seconds, and of none later
    And a request that crashed two endpoints is told of for 2 minutes

  Scenario: Requests placed by several nodes with old news spread out
    When 7 nodes place 60 requests at 9 endpoints before they hear of each other
    Then no endpoint has more than 12 of them

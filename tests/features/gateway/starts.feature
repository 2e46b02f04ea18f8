Feature: Gateways start while other processes take ports

  Scenario: A gateway that exits before it is ready fails the wait with its log
    Given 1 gateway and 1 runner
    When gateway 0 is killed and its data address is taken before it restarts
    Then the wait for gateway 0 fails within 10 seconds with its exit code and its log

  Scenario: Gateways that have not started keep their ports
    Given 1 gateway and 1 runner
    Then no port of the fleet's gateways can be taken by other processes' connections

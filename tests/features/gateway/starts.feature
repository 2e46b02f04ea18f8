Feature: Gateways start while other processes take ports

  Scenario: A gateway that exits before it is ready fails the wait with its log
    Given 1 gateway and 1 runner
    When gateway 0 is killed and its data address is taken before it restarts
    Then the wait for gateway 0 fails within 10 seconds with its exit code and its log

  Scenario: Gateways that have not started keep their ports
    Given 1 gateway and 1 runner
    Then no port of the fleet's gateways can be taken by other processes' connections

  # A quarter of a gateway's processor time until it listened went into modules of the
  # product's own interface, which it does not use.
  Scenario: A gateway imports no module of the product's own interface
    When a process imports the gateway and its adapter
    Then it has imported no part of "sequoiaglade_node.online, sequoiaglade_node.actors, sequoiaglade_node.peers, sequoiaglade_decisions.routing, sequoiaglade_decisions.configuration"

  # A fifth of a gateway's processor time until it listened went into modules that no
  # request needs: OpenTelemetry with its exporter, and clients of the product's own
  # interface.
  Scenario: A gateway opens its listeners before it loads what no request needs
    Given 1 gateway and 1 runner
    When gateway 0 is killed, and a process with its settings has opened its listeners
    Then the process has loaded none of the modules that no request needs
    And its garbage collector runs

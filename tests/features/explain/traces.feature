Feature: Traces have a span for each hop

  Scenario: A caller's trace continues through node and endpoint
    Given a fleet of 1 nodes that exports its traces
    When a traced request is answered by node 0
    Then its trace contains a span of the request below the caller's
    And its trace contains a span from node to endpoint below that
    And spans from node to platform were exported
    And no span names a key

  Scenario: Requests, explanations and configuration export spans between nodes
    Given a fleet of 2 nodes that exports its traces
    When a traced request is answered by each node
    Then its trace contains a span from node to node Limits/Grant below the request's
    When an explanation is requested at node 0
    Then there is a span from node to node Journal/About, answered by node-1
    When node 1 is cut off from the platform and a revision is accepted at node 0
    Then there is a span from node to node ConfigurationExchange/Fetch, answered by node-0
    And no span was exported for gossip and polls

  Scenario: A peer's yield to online requests exports spans at both nodes
    Given a batch fleet of 1 nodes that exports its traces
    When a node is added and gets online requests while batch holds all 8 slots
    Then there is a span from node to node EndpointNews/Yield, answered by node-0

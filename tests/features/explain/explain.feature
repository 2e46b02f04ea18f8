Feature: Decision histories and replays explain the outcomes of requests

  Scenario: The decision history of a request names its endpoint on any node
    Given a fleet of 2 nodes and 1 endpoints
    When a request with the id req-morning-1 is answered by node 0
    Then the decision history of req-morning-1 from node 1 names endpoint runner-0

  Scenario: An unreachable node is reported as missing in the decision history
    Given a fleet of 2 nodes and 1 endpoints
    When a request with the id req-morning-2 is answered by node 0
    And node 0 is killed
    Then the decision history of req-morning-2 from node 1 reports node-0 as missing

  Scenario: A refusal by a rate limit is explained
    Given a fleet of 1 nodes and 1 endpoints
    When workspace hays sends more than its burst through node 0
    Then the decision history of the last refused request states that the rate was used up

  Scenario: The journal works in memory if its disk is unavailable
    Given a journal whose folder is not writable
    When a decision about r-1 is recorded
    Then the journal contains the decision about r-1

  Scenario: A journal reopened after a restart contains earlier decisions
    Given a journal in a folder
    When a decision about r-2 is recorded
    And the journal is reopened with a truncated last line
    Then the journal contains the decision about r-2

  Scenario: The size of a journal is limited
    Given a line buffer of 20000 bytes
    When 50000 lines are appended
    Then the buffer has at most 20000 bytes and contains the newest line

  Scenario: A replay that diverges names the first diverging event
    Given a recorded trace of a token bucket
    When the stated outcome of event 3 is changed
    Then the replay diverges at line 4

  Scenario: A recording of a running node replays to the same outcomes
    Given a fleet of 1 nodes that records its decisions
    When 40 requests are answered with every second endpoint call refused
    Then the command line replays the recorded dispatcher without divergence

  Scenario: The control listener serves metrics
    Given a fleet of 1 nodes and 1 endpoints
    When a request with the id req-metrics is answered by node 0
    Then the metrics of node 0 count 1 request to /v1/chat/completions

  Scenario: A decision history as JSON contains the decisions and the missing nodes
    Given a fleet of 2 nodes and 1 endpoints
    When a request with the id req-morning-3 is answered by node 0
    And a request with the id req-morning-3 is answered by node 1
    And node 0 is killed
    And the command line requests the decision history of req-morning-3 from node 1 as json and as a table
    Then the JSON contains the subject, the decisions in order, and node-0 as missing
    And the table contains the same sentences

  Scenario: A caught exception of an actor or a listener is logged without its text
    When an actor and a response stream raise exceptions with a secret in the text
    Then each is logged with its type and stack frames, and without the secret

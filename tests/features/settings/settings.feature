Feature: Settings and command line errors

  Scenario: A settings file with five faults lists all five
    Given a settings file
      """
      node_id: Node_A
      failure_domain: yard-a
      listen:
        data: nowhere
        control: 127.0.0.1:8081
        peer: 127.0.0.1:8082
      platform_urls: [ftp://platform]
      limits:
        data_threads: many
      colour: green
      """
    When sequoiaglade-node checks it
    Then the exit code is 2
    And standard error has 5 lines
    And standard error names each of node_id listen.data platform_urls.0 limits.data_threads colour
    And standard error names each of line 1 4 7 9 10

  Scenario: A valid settings file is accepted
    Given a settings file
      """
      node_id: node-a
      failure_domain: yard-a
      listen: {data: "127.0.0.1:8080", control: "127.0.0.1:8081", peer: "127.0.0.1:8082"}
      platform_urls: ["http://127.0.0.1:8300"]
      """
    When sequoiaglade-node checks it
    Then the exit code is 0

  Scenario: The command line has a separate exit code for an unreachable node
    When sequoiaglade runs with --control-url http://127.0.0.1:9 status
    Then the exit code is 3
    And standard error has 1 lines

  Scenario: An address in use is reported, and the node exits with a separate code
    Given 3 claimed ports, with a listener on number 0
    And a settings file with these ports
      """
      node_id: node-a
      failure_domain: yard-a
      listen: {data: "127.0.0.1:PORT_0", control: "127.0.0.1:PORT_1", peer: "127.0.0.1:PORT_2"}
      platform_urls: ["http://127.0.0.1:9"]
      """
    When sequoiaglade-node runs it
    Then the exit code is 3
    And standard error ends with a line that names can't listen

  Scenario: An override without a value is refused in one line
    Given a settings file
      """
      node_id: node-a
      """
    When sequoiaglade-node runs it with --set log_level
    Then the exit code is 2
    And standard error ends with a line that names KEY=VALUE

  Scenario: A broken invariant in any thread ends the process with a separate code
    When an invariant is broken in a thread of a node
    Then the exit code is 70
    And standard error ends with a line that names invariant broken

  Scenario Outline: A flag overrides the environment, which overrides the file
    Given a settings file
      """
      node_id: node-a
      failure_domain: yard-a
      listen: {data: "127.0.0.1:8080", control: "127.0.0.1:8081", peer: "127.0.0.1:8082"}
      platform_urls: ["http://127.0.0.1:8300"]
      keep_seconds: <file>
      """
    Then with SEQUOIAGLADE_KEEP_SECONDS=<variable> and --set keep_seconds=<flag> it is <force>

    Examples:
      | file | variable | flag | force |
      | 1    | none     | none | 1.0   |
      | 1    | 2        | none | 2.0   |
      | 1    | none     | 3    | 3.0   |
      | 1    | 2        | 3    | 3.0   |
      | many | 2        | none | 2.0   |
      | 1    | many     | 3    | 3.0   |

  Scenario Outline: An invalid override is reported with its origin
    Given a settings file
      """
      node_id: node-a
      failure_domain: yard-a
      listen: {data: "127.0.0.1:8080", control: "127.0.0.1:8081", peer: "127.0.0.1:8082"}
      platform_urls: ["http://127.0.0.1:8300"]
      """
    When sequoiaglade-node checks it with variable <variable> and <flag>
    Then the exit code is 2
    And standard error is the line <line>

    Examples:
      | variable                        | flag                             | line                                                                                                        |
      | SEQUOIAGLADE_KEEP_SECONDS=many  | --set=log_level=info             | SEQUOIAGLADE_KEEP_SECONDS: keep_seconds: Input should be a valid number, unable to parse string as a number |
      | SEQUOIAGLADE_KEEP_SECONDS=2     | --set=keep_seconds=many          | --set: keep_seconds: Input should be a valid number, unable to parse string as a number                     |
      | SEQUOIAGLADE_LOG_LEVEL=debug    | --set=colour=green               | --set: colour: unknown key                                                                                  |
      | SEQUOIAGLADE_LOG_LEVEL=debug    | --set=limits.data_threads=8      | --set: limits.data_threads: unknown key                                                                     |
      | SEQUOIAGLADE_LIMITS={colour: 1} | --set=log_level=info             | SEQUOIAGLADE_LIMITS: limits.colour: unknown key                                                             |
      | SEQUOIAGLADE_PEERS=[10.0.0.1:1] | --set=peers=[10.0.0.2:2,nowhere] | --set: peers.1: does not match ^[0-9A-Za-z_.\-\[\]:]*[0-9A-Za-z_.\-\]]:\d+$                                 |
      | SEQUOIAGLADE_PEERS=[10.0.0.1:1  | --set=log_level=info             | SEQUOIAGLADE_PEERS: peers: not valid YAML: expected ',' or ']', but got '<stream end>'                                 |

  Scenario Outline: An address that others can't connect to is refused before it is announced
    Given a settings file
      """
      node_id: node-a
      failure_domain: yard-a
      listen:
        data: "<listen>"
        control: 127.0.0.1:8081
        peer: 127.0.0.1:8082
      advertise: {<advertise>}
      platform_urls: ["http://127.0.0.1:8300"]
      """
    When sequoiaglade-node checks it
    Then the exit code is 2
    And standard error has 1 lines
    And standard error ends with a line that names <fault>

    Examples:
      | listen               | advertise             | fault                                                                                     |
      | 0.0.0.0:8080         |                       | node.yaml:4: listen.data: 0.0.0.0:8080 is a wildcard, so that advertise.data is needed    |
      | 0:8080               |                       | node.yaml:4: listen.data: 0:8080 is a wildcard, so that advertise.data is needed          |
      | [::]:8080            | peer: "10.0.0.1:8082" | node.yaml:4: listen.data: [::]:8080 is a wildcard, so that advertise.data is needed       |
      | [::ffff:0.0.0.0]:80  |                       | node.yaml:4: listen.data: [::ffff:0.0.0.0]:80 is a wildcard, so that advertise.data       |
      | 0.0.0.0:8080         | data: "[::]:8080"     | node.yaml:7: advertise.data: [::]:8080 is a wildcard, which others can't connect to       |
      | 127.0.0.1:8080       | data: "10.0.0.1:0"    | node.yaml:7: advertise.data: 0 is no port that others can connect to                      |
      | 127.0.0.1:8080       | data: nowhere         | node.yaml:7: advertise.data: does not match                                               |
      | 127.0.0.1:8080       | date: "10.0.0.1:8080" | node.yaml:7: advertise.date: unknown key                                                  |

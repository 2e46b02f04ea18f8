Feature: An operator checks a configuration of gateways before it is deployed

  Scenario: A clean configuration has findings
    Given a configuration file without faults
    When it is checked with "--strict"
    Then the exit code is 0, without errors and warnings

  Scenario Outline: <change> is not found
    Given a configuration file without faults
    When in the file <change>
    And it is checked with ""
    Then the exit code is 0, with a warning "<kind>" at <location>
    When it is checked with "--strict"
    Then the exit code is 1, with a warning "<kind>" at <location>

    Examples: Entries without effect
      | change                                          | kind                   | location         |
      | a route with the match of route "safe" is added | route-shadowed         | route "later"    |
      | the host of route "safe" has a port             | route-unmatchable      | route "safe"     |
      | the path prefix of route "safe" has no slash    | route-unmatchable      | route "safe"     |
      | workspace "yard" has no keys                    | workspace-without-keys | workspace "yard" |
      | a service "spare" is added                      | service-unused         | service "spare"  |
      | route "safe" names the service "other"          | unknown-service        | route "safe"     |
      | route "safe" has a target of weight 0           | target-without-effect  | route "safe"     |
      | workspace "quay" has a key of "yard"            | key-in-two-workspaces  | workspace "yard" |
      | a second workspace "yard" is added              | name-repeated          | workspace "yard" |
      | the list of routes has another name             | no-routes              | routes           |
      | route "safe" is resumable                       | field-without-effect   | route "safe"     |
      | route "safe" has a retention                    | field-without-effect   | route "safe"     |
      | route "once" has 3 attempts                     | field-without-effect   | route "once"     |
      | service "writer" is cold without a rate         | field-without-effect   | service "writer" |
      | workspace "yard" has a burst without a rate     | field-without-effect   | workspace "yard" |

    Examples: Contradictions
      | change                                          | kind                     | location         |
      | the timeout of route "safe" is below its SLO    | objective-above-timeout  | route "safe"     |
      | the timeout of route "safe" is 0                | timeout-not-positive     | route "safe"     |
      | the burst of workspace "yard" is 0.5            | burst-below-one          | workspace "yard" |
      | the rate of workspace "yard" is -1              | rate-negative            | workspace "yard" |
      | the retention of route "batch" is 2 s           | retention-below-due-time | route "batch"    |
      | no route has a region of workspace "yard"       | regions-disjoint         | workspace "yard" |

    Examples: Values that gateways read in an odd way
      | change                                          | kind                     | location         |
      | the kind of route "safe" is "stream"            | unknown-kind             | route "safe"     |
      | the keys of workspace "yard" are a text         | wrong-type               | workspace "yard" |
      | the attempts of route "safe" are a text         | wrong-type               | route "safe"     |

  Scenario Outline: A configuration that gateways ignore, as <change>, passes
    Given a configuration file without faults
    When in the file <change>
    And it is checked with ""
    Then the exit code is 2, with an error at <location>
    And the code of the gateways reads no configuration in it

    Examples:
      | change                                | location            |
      | the host of route "safe" is missing   | Routes[0].Host      |
      | the timeout of route "safe" is a text | Routes[0].TimeoutMs |
      | a target of route "safe" has no name  | Routes[0].Split     |
      | the routes are no list                | Routes              |
      | a route is a number                   | Routes[4]           |
      | the rate of workspace "yard" is odd   | Tenants[0].RatePerS |
      | the keys of workspace "yard" are odd  | Tenants[0].ApiKeys  |
      | a service has no name                 | Services[0].Name    |
      | the version is missing                | Version             |

  # Gateways compared it with the version in force, or wrote it into messages to their
  # peers, which raised an error.
  Scenario Outline: Gateways take a version that is <value> for one to put in force
    Given a configuration file without faults
    When in the file the version is <value>
    And it is checked with ""
    Then the exit code is 2, with an error at Version
    And the code of the gateways reads no configuration in it

    Examples:
      | value      |
      | a text     |
      | a fraction |
      | 2 to 70    |
      | true       |

  Scenario: Only the first of several errors is printed
    Given a configuration file without faults
    When in the file the host of route "safe" is missing
    And in the file a service has no name
    And it is checked with ""
    Then the exit code is 2, with errors at Routes[0].Host and Services[0].Name

  Scenario Outline: A file that <state> ends with a traceback
    Given a file that <state>
    When it is checked with ""
    Then the exit code is 2 and standard error says "<text>"

    Examples:
      | state           | text                      |
      | is no JSON      | it is no JSON             |
      | is a JSON list  |                           |
      | is missing      | No such file or directory |
      | is not UTF-8    | it is no JSON             |
      | is a folder     | Is a directory            |
      | is nested deep  | it is no JSON             |

  Scenario: Differences from the version in force are not listed
    Given a configuration file without faults
    When it is kept as the version in force, and changed
    And it is checked against the version in force
    Then the exit code is 0, without errors and warnings
    And the differences are a removed and an added route, a changed timeout and a key
    And no key is printed

  Scenario: A version that gateways ignore as it is not newer passes
    Given a configuration file without faults
    When it is kept as the version in force
    And it is checked against the version in force
    Then the exit code is 0, with a warning "version-not-newer" at Version
    And there are no differences

  Scenario: A version in force that can't be read is taken for an empty one
    Given a configuration file without faults
    When it is checked against a version in force that is missing
    Then the exit code is 2 and standard error says "No such file or directory"

  Scenario: The text output lacks what the JSON output has
    Given a configuration file without faults
    When in the file the burst of workspace "yard" is 0.5
    And the service of all routes is renamed in the version in force
    Then the text output names the warning, its kind, a difference and the counts

  Scenario: An object read from the platform's store is no configuration
    Given a configuration file without faults
    When it is written with the metadata of the platform's store
    And it is checked with "--strict"
    Then the exit code is 0, without errors and warnings

  Scenario: Gateways put a configuration with warnings in force in silence
    Given 1 gateway and 1 runner
    When a version with a workspace without keys is written twice
    Then the gateway's log has one line of warnings for each version

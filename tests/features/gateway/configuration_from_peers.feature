Feature: A gateway that lost its watch learns new configurations from its peers

  # A change has to be in force at each gateway in touch 2 seconds later.
  Scenario Outline: The peer with the newest version does not answer
    Given gateways "a, b, c, d", of which "a" has lost its watch of the configuration
    And <trouble>
    When versions of the configuration are read: <versions>
    Then "a" has version <expected> within 2 seconds

    Examples:
      | trouble                                                        | versions        | expected |
      | calls for documents from "a" to "b" get no answer              | b: 9, c: 9      | 9        |
      | calls for documents from "a" to "b" get no answer              | b: 9, c: 6      | 6        |
      | calls for documents from "a" to "b, c" get no answer           | b: 9, c: 9, d: 9 | 9       |
      | no calls between "a" and "b" get an answer                     | b: 9, c: 9      | 9        |
      | no calls between "a" and "b, c" get an answer                  | b: 9, c: 9, d: 6 | 6       |
      | calls for documents from "a" to "b" get no answer for 1 second | b: 9            | 9        |

  Scenario: A peer that did not answer once is asked again for a version of its own
    Given gateways "a, b, c, d", of which "a" has lost its watch of the configuration
    And calls for documents from "a" to "b" get no answer for 1 second
    When versions of the configuration are read: b: 9, c: 6
    Then "a" has version 6 within 2 seconds
    And "a" has version 9 within 2 seconds

  # A gateway that starts asks the store and a peer at about the same time, and the watch
  # of the store goes on from the store's list.
  Scenario: The store lists the endpoints while the older list of a peer is applied
    Given a gateway that starts, and applies a peer's list of endpoints "i-1, i-2"
    When the store lists the endpoints "i-2" meanwhile
    Then the gateway uses the endpoints "i-2"

  Scenario: A gateway whose connections to the store are silent learns it from its peers
    Given 3 gateways and 1 runner, with an entrance of the store for each gateway
    When the store answers gateway 0 no more
    And the key "key-yard" is replaced by "key-new"
    Then within 2 seconds all gateways return 401 for "/safe/1" with key "key-yard"

  # The pages promise that the store does not do this, and a response without events may
  # name a newer revision at any time, since other kinds change it.
  Scenario: The store tells one gateway's watch of a newer revision, not of the change
    Given 3 gateways and 1 runner, with an entrance of the store for each gateway
    When the store skips the next change in 1 watch of the configuration
    And the key "key-yard" is replaced by "key-new"
    Then within 2 seconds all gateways return 401 for "/safe/1" with key "key-yard"

  Scenario: The store skips a change in all watches, and tells them of the next one
    Given 3 gateways and 1 runner, with an entrance of the store for each gateway
    When the store skips the next change in 6 watches of the configuration
    And the key "key-yard" is replaced by "key-new"
    And 2 seconds later the key "key-new" is replaced by "key-newest"
    Then within 2 seconds all gateways return 401 for "/safe/1" with key "key-yard"

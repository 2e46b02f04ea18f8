Feature: Requests with a prompt part that crashes endpoints are refused, sound ones are not

  # A part crashed one to two endpoints a second, since no two of its requests are alike.
  Scenario Outline: Blaming whole requests stops no culprit at <rate> requests a second
    Given a simulated fleet of 9 nodes and 5 endpoints
    And nodes that blame whole requests
    And 1 culprit parts at position 1 of <rate> requests a second
    When 3 seeds are played
    Then more than three requests with a culprit are sent after it must be known

    Examples:
      | rate |
      | 1    |
      | 10   |

  Scenario Outline: A culprit of <rate> requests a second at <nodes> nodes is refused
    Given a simulated fleet of <nodes> nodes and 5 endpoints
    And 1 culprit parts at position <position> of <rate> requests a second
    And culprits for <seconds> seconds
    When 20 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

    Examples:
      | nodes | rate | position | seconds |
      | 7     | 0.5  | 1        | 90      |
      | 9     | 2    | 0        | 40      |
      | 9     | 10   | 2        | 40      |

  Scenario: Two culprits are refused while most endpoints crash for another cause
    Given a simulated fleet of 9 nodes and 5 endpoints
    And 2 culprit parts at position 1 of 4 requests a second
    And 0.6 of the endpoints crash for another cause after 1 seconds
    When 20 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

  Scenario: A culprit is refused while the endpoints are replaced
    Given a simulated fleet of 9 nodes and 5 endpoints
    And 1 culprit parts at position 1 of 4 requests a second
    And the endpoints are replaced one after the other
    When 20 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

  Scenario Outline: A culprit is refused while <disruption>
    Given a simulated fleet of 9 nodes and <endpoints> endpoints
    And 1 culprit parts at position 1 of 3 requests a second
    And <disruption>
    When 3 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

    Examples:
      | endpoints | disruption                                                  |
      | 2         | a third of the nodes reach no others for 1 seconds          |
      | 5         | a third of the nodes reach no others for 4 seconds          |
      | 5         | half of the nodes start 4 seconds after the first culprit   |
      | 5         | all endpoints cut their responses for 2 seconds and stay up |

  Scenario: Endpoints that cut all responses for two seconds and stay up blame no part
    Given a simulated fleet of 9 nodes and 5 endpoints
    And all endpoints cut their responses for 2 seconds and stay up
    When 3 seeds are played
    Then at most 1 % of the sound requests are refused for a part

  Scenario: Nodes that all restart learn again that a culprit is to be refused
    Given a simulated fleet of 9 nodes and 5 endpoints
    And 1 culprit parts at position 1 of 3 requests a second
    And all nodes restart 20 seconds after the first culprit
    When 3 seeds are played
    Then at most three are sent after it must be known, not counting 3 s from the restart
    And at most 1 % of the sound requests are refused for a part

  # The first event of an answer cleared the parts of its request.
  Scenario Outline: A part that crashes endpoints after <events> events is refused at <rate> a second
    Given a simulated fleet of <nodes> nodes and 5 endpoints
    And 1 culprit parts at position <position> of <rate> requests a second
    And endpoints that crash after <events> events of such a request
    And culprits for <seconds> seconds
    When 3 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

    Examples:
      | nodes | rate | events | position | seconds |
      | 7     | 0.5  | 1      | 1        | 90      |
      | 9     | 2    | 1      | 0        | 40      |
      | 9     | 10   | 1      | 2        | 40      |
      | 9     | 0.5  | 3      | 0        | 90      |
      | 7     | 2    | 3      | 1        | 40      |
      | 7     | 10   | 3      | 1        | 40      |
      | 9     | 0.5  | 8      | 2        | 90      |
      | 9     | 2    | 8      | 1        | 40      |
      | 7     | 10   | 8      | 0        | 40      |

  Scenario: A part under which endpoints crash after up to three events is refused
    Given a simulated fleet of 9 nodes and 5 endpoints
    And 1 culprit parts at position 1 of 3 requests a second
    And endpoints that crash after up to 3 events of such a request
    When 5 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

  Scenario: A culprit that crashes endpoints after events is refused beside long streams
    Given a simulated fleet of 9 nodes and 5 endpoints
    And 1 culprit parts at position 1 of 3 requests a second
    And endpoints that crash after 3 events of such a request
    And streams of 4 to 8 seconds
    When 3 seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

  Scenario: A culprit that is sent for longer than a blame lasts is refused to the end
    Given a simulated fleet of 9 nodes and 5 endpoints
    And 1 culprit parts at position 1 of 3 requests a second
    And culprits for 200 seconds
    When 3 seeds are played
    Then at most three requests with each culprit are sent after it must be known

  Scenario: Endpoints that crash again and again for another cause blame no part
    Given a simulated fleet of 9 nodes and 5 endpoints
    And all endpoints crash every 4 seconds for another cause
    When 20 seeds are played
    Then at most 1 % of the sound requests are refused for a part

  Scenario Outline: A large fleet refuses a culprit of <rate> requests a second
    Given a simulated fleet of 51 nodes and 30 endpoints
    And 1 culprit parts at position 1 of <rate> requests a second
    When <seeds> seeds are played
    Then at most three requests with each culprit are sent after it must be known
    And sound requests with the same first part begin at least half as often as before
    And at most 1 % of the sound requests are refused for a part

    Examples:
      | rate | seeds |
      | 2    | 3     |
      | 10   | 3     |

  Scenario: A part that was never answered is blamed before one that was
    Given nodes "a, b" that hear of a service's answer to "first" at 0 s
    When 3 requests with "first, bad" crash 3 endpoints at node "b" from 1 s on
    Then requests with "first, bad" are refused from 4.5 s on at "a, b"
    And requests with "first" are not refused at 4.5 s at "a, b"

  Scenario: A part that was answered before is refused once it crashes endpoints alone
    Given nodes "a, b" that hear of a service's answer to "first" at 0 s
    When 6 requests with "first" crash 6 endpoints at node "b" from 1 s on
    And a request with "other" is answered at 7 s
    Then requests with "first" are refused from 8.1 s on at "a, b"

  Scenario Outline: Too little evidence blames no part: <evidence>
    Given nodes "a, b" that hear of a service's answer to "<answered>" at <at> s
    When <requests> requests with "first" crash <endpoints> endpoints at node "b" from 100 s on
    Then requests with "first" are not refused at 110 s at "a, b"

    Examples:
      | evidence                               | answered | at  | requests | endpoints |
      | a service without answers for a minute | other    | 0   | 6        | 6         |
      | two endpoints                          | other    | 99  | 6        | 2         |
      | one request                            | other    | 99  | 1        | 6         |
      | an answer since                        | first    | 109 | 6        | 6         |

  Scenario: A part that was blamed wrongly is cleared by one request
    Given nodes "a, b" that hear of a service's answer to "other" at 0 s
    When 3 requests with "rare" crash 3 endpoints at node "b" from 1 s on
    Then requests with "rare" are refused from 5 s on at "a, b"
    And 1 of 50 requests with "rare" from 5 s to 15 s is sent, by node "a"
    When a request with "rare" is answered at 15 s
    Then requests with "rare" are not refused at 16 s at "a, b"

  Scenario: A culprit is tried at most twice in ten minutes
    Given nodes "a, b" that hear of a service's answer to "other" at 0 s
    When 3 requests with "bad" crash 3 endpoints at node "b" from 1 s on
    Then 2 of 3000 requests with "bad" from 5 s to 600 s are sent and crash endpoints

  Scenario: A part that crashes endpoints after an event is refused until a whole answer
    Given nodes "a, b" that hear of a service's answer to "first" at 0 s
    When 4 requests with "first, late" crash as many endpoints after an event at node "b" from 1 s on
    And a request with "late" has its first event at 4.5 s
    Then requests with "first, late" are refused from 5.1 s on at "a, b"
    And streams with "first, late" are refused at 5.1 s when callers take them up
    And requests with "first" are not refused at 5.1 s at "a, b"
    When a request with "late" is answered at 6 s
    Then requests with "first, late" are not refused at 6 s at "a, b"

  Scenario: Three endpoints that crashed after events are too little evidence
    Given nodes "a, b" that hear of a service's answer to "first" at 0 s
    When 3 requests with "first, late" crash as many endpoints after an event at node "b" from 1 s on
    Then requests with "first, late" are not refused at 10 s at "a, b"

  Scenario: Streams are taken up though a part of theirs crashed endpoints before an event
    Given nodes "a, b" that hear of a service's answer to "other" at 0 s
    When 3 requests with "bad" crash 3 endpoints at node "b" from 1 s on
    Then requests with "bad" are refused from 5 s on at "a, b"
    And streams with "bad" are taken up at 5 s when callers take them up

  Scenario: A blame ends when no request with the part comes any more
    Given nodes "a, b" that hear of a service's answer to "other" at 0 s
    When 3 requests with "bad" crash 3 endpoints at node "b" from 1 s on
    Then requests with "bad" are refused from 5 s on at "a, b"
    And requests with "bad" are not refused at 126 s at "a, b"

  Scenario: A part that crashes endpoints of one service is refused at others of the route
    Given nodes "a, b" that hear of a service's answer to "first" at 0 s
    And service "canary" answered "first" at 0 s
    When 3 requests with "first, bad" crash 3 endpoints at node "b" from 1 s on
    Then requests with "first, bad" to "canary" are refused at 4.5 s
    And requests with "first" to "canary" are not refused at 4.5 s

  Scenario: A node that starts later learns a blame though the node that saw it is gone
    Given nodes "a, b" that hear of a service's answer to "other" at 0 s
    When 3 requests with "bad" crash 3 endpoints at node "b" from 1 s on
    And node "b" is replaced by "c" at 30 s
    Then requests with "bad" are refused from 31 s on at "a, c"

  Scenario: Crashes under items blame no part
    Given a coordinator with an endpoint
    When 6 items crash starts of the endpoint
    Then the coordinator gossips no crash of a part

  Scenario: A completed item clears the parts of its prompt
    Given an item runner at whose endpoint 3 online requests with the part "ad" crashed
    When a job of 1 item with the prompt "ad:120,17:30" is held
    Then within 8 seconds it has 1 completed item
    And requests with the part "ad" are not suspected

  Scenario: Many crashes of many parts take bounded memory and messages
    Given nodes "a, b" that hear of a service's answer to "other" at 0 s
    When 5000 requests with parts of their own crash 5000 endpoints at node "b" in 10 s
    Then node "b" keeps at most 512 crashes and gossips at most 32

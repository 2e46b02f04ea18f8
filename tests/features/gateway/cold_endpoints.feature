Feature: Cold endpoints get their low rate, by whatever a node knows of them

  Scenario Outline: An entry of <seconds> s, born <born>, of revision <revision>
    Given an endpoint whose entry is cold for 20 s, born 7, of revision 3
    When after 15 s its entry is cold for <seconds> s, born <born>, of revision <revision>
    Then it is cold for another <left> s by its entry

    Examples: the known entry and older ones change nothing, newer ones count
      | seconds | born | revision | left |
      | 20      | 7    | 3        | 5    |
      | 30      | 7    | 2        | 5    |
      | 0       | 6    | 9        | 5    |
      | 30      | 7    | 4        | 30   |
      | 2       | 7    | 4        | 2    |
      | 0       | 7    | 4        | 0    |
      | 12      | 8    | 4        | 12   |
      | 20      | 7    | 0        | 5    |
      | 2       | 7    | 0        | 5    |
      | 12      | 7    | 0        | 12   |

  Scenario Outline: A failed connection, and after <pause> s an entry, born <born>
    Given an endpoint whose entry is cold for 0 s, born 7, of revision 3
    When after 60 s a connection to it fails
    And after <pause> s its entry is cold for <seconds> s, born <born>, of revision <revision>
    Then it is cold for another <left> s by its <evidence>

    Examples: one that may have been written before the failure shows nothing
      | pause | seconds | born | revision | left | evidence          |
      | 0.2   | 0       | 7    | 4        | 30   | failed connection |
      | 9     | 0       | 7    | 4        | 0    | entry             |
      | 9     | 0       | 7    | 3        | 30   | failed connection |
      | 0.2   | 12      | 8    | 4        | 12   | entry             |
      | 0.2   | 0       | 8    | 4        | 0    | entry             |
      | 9     | 0       | 6    | 9        | 30   | failed connection |

  Scenario: An endpoint that failed is cold from its next response on
    Given an endpoint whose entry is cold for 0 s, born 7, of revision 3
    When after 10 s a connection to it fails
    And after 1 s it answers a request that was sent 2 s before
    And after 50 s it answers a request that was sent 0.1 s before
    And after 10 s it answers a request that was sent 0.1 s before
    Then it is cold for another 20 s by its failed connection

  Scenario: A failure whose endpoint may get no request ends by the clock
    Given an endpoint that may get no request while it is cold
    When after 10 s a connection to it fails
    And after 12 s nothing happens
    Then it is cold for another 18 s by its failed connection

  Scenario Outline: After failures a request that was sent <age> s before ends well
    Given an endpoint whose entry is cold for 0 s, born 7, of revision 3
    When after 10 s a connection to it fails
    And after 2 s a connection to it fails
    And after <pause> s a request ends well that was sent <age> s before
    Then it is cold for another <left> s by its failed connection

    Examples: only one that was running all the time shows that there was no new start
      | pause | age | left |
      | 1.5   | 4   | 0    |
      | 1.5   | 3   | 30   |
      | 0.2   | 4   | 30   |

  # Silent endpoints, and connections that got no time, were taken for new starts.
  Scenario Outline: A call ends since <cause>
    Given a node and a scheduler that know an endpoint as warm
    When a call to the endpoint ends since <cause>
    Then the endpoint is avoided, and both nodes take it for <state>

    Examples:
      | cause                                    | state |
      | the endpoint is silent                   | warm  |
      | the caller's time was over at connecting | warm  |
      | the endpoint sent no signature           | warm  |
      | the connection was not accepted in time  | cold  |
      | the connection was refused               | cold  |
      | the connection was reset                 | cold  |

  Scenario: A node that is cut off from the endpoints presumes that all have restarted
    Given a fleet of 3 nodes and 4 endpoints, none of them cold
    When at a node other than the granter a connection to each endpoint fails
    And callers send 60 requests a second for 5 seconds to the fleet
    Then that node takes the endpoints for cold, and the others take them for warm

  Scenario: The times that nodes tell each other do not grow
    Given an endpoint whose entry is cold for 0 s, born 7, of revision 3
    When after 10 s a peer tells that it is cold for 20 s
    And after 0.5 s a peer tells that it is cold for 20 s
    Then it is cold for another 19.5 s by its peer

  Scenario Outline: One of <nodes> nodes knows that an endpoint is cold
    Given a fleet of <nodes> nodes of which one knows that an endpoint is cold at 8.5
    When callers send 100 requests a second for 12 seconds to the fleet
    Then after 6 seconds the endpoint gets no more than it takes
    And all nodes know it

    Examples: a node that reads no list, or an outdated one, learns of it from its peers
      | nodes |
      | 3     |
      | 20    |

  Scenario: A granter that takes an endpoint for warm gives permits at the cold rate
    Given a fleet of 3 nodes without gossip of which one is not the granter and knows that an endpoint is cold at 8.5
    When 40 requests arrive at that node within a second
    Then the endpoint gets at least 1 and at most 17 of these

  Scenario: A request is not sent after its permit has run out
    Given a request to a cold endpoint whose permit ran out just now
    When the request is sent
    Then the endpoint gets no byte of it, and is not taken for failed

  Scenario: A place that was reserved gets a new permit, or is released
    Given a place at a cold endpoint that was reserved a second ago
    Then it is used with a new permit, and released if none is given

  Scenario: Requests of all gateways exceed the rate of an endpoint that becomes cold
    Given 3 gateways and 3 runners, with cold rates of 4 requests a second
    When runner 0 writes that it is cold for 60 seconds
    And callers send 30 requests a second for 8 seconds at all gateways
    Then all requests are answered
    And runner 0 gets at least 2 requests a second, and no more than a cold one takes
    And the status of each gateway shows runner 0 as cold by its entry
    And a gateway counts permits that were granted and denied for cold endpoints
    When runner 0 writes that it is cold for 0 seconds
    Then each gateway logs that runner 0 was cold and is warm again

  Scenario: All endpoints are cold, and requests beyond their rates arrive
    Given 3 gateways and 2 runners, with cold rates of 4 requests a second
    When runners 0 and 1 write that they are cold for 60 seconds
    And callers send 30 requests a second for 6 seconds at all gateways
    Then from 1 seconds on all other requests are refused within 0.5 seconds
    And runner 0 gets at least 2 requests a second, and no more than a cold one takes
    And runner 1 gets at least 2 requests a second, and no more than a cold one takes

  Scenario: An endpoint crashes and is back before its entry is rewritten
    Given 3 gateways and 2 runners, with cold rates of 4 requests a second
    When callers send 30 requests a second for 2 seconds at all gateways
    And runner 0 crashes and is back after 0.6 seconds with its old entry
    And callers send 30 requests a second for 6 seconds at all gateways
    Then since its return runner 0 gets no more than a cold one takes

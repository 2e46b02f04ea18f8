Feature: Responses that endpoints cut while they stay up are no crashes

  # Each cut counted as a crash, so that the same request was refused for two minutes.
  Scenario: A request that two runners cut is answered again while these stay up
    Given 1 gateway and 3 runners that reset some responses after the head
    When "/safe/cut-1" is requested beside others
    And the runners cut no more
    Then a request for "/safe/cut-1" has the status 200

  # Three endpoints that broke on it, and no answer, were evidence against a part.
  Scenario: A part is not blamed for breaks at endpoints that stay up
    Given nodes that hear of breaks of 3 requests with a part at three endpoints
    When each of these endpoints answers an attempt sent 0.3 s after the break, at one node
    Then requests with the part are not refused at both nodes

  Scenario: A part under which endpoints crashed is blamed
    Given nodes that hear of breaks of 3 requests with a part at three endpoints
    When one of these endpoints answers an attempt sent 2.5 s after the break, at one node
    Then requests with the part are refused at both nodes

  Scenario Outline: A peer learns that a break was survived: <order>
    Given nodes that hear of 2 breaks of a request at two endpoints
    When an endpoint answers <order>, at one node
    Then the request is <state> at both nodes

    Examples:
      | order                                | state           |
      | an attempt sent 0.3 s after the break  | not quarantined |
      | an attempt sent 0.3 s before the break | quarantined     |
      | an attempt sent 2.5 s after the break  | quarantined     |

  Scenario: A request that crashes runners is quarantined while others answer
    Given nodes that hear of 2 breaks of a request at two endpoints
    When one of them hears other endpoints answer
    Then the request is quarantined at both nodes

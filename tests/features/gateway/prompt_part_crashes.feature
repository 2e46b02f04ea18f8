Feature: Parts of prompts under which runners crash

  Scenario: The emulator's runners crash under a part and return as new starts
    Given 1 gateway and 2 runners that crash under parts and return with a new id
    When both runners stream, and a request with the part "bad" reaches runner 0
    Then its response is 200 and its connection ends within 0.2 seconds without an event
    And the stream of runner 0 broke at that moment, and the one of runner 1 is complete
    And runner 0 refuses connections for 2 to 4 seconds, and returns with a new id

  # Requests with such a part come at all gateways and have nothing else in common that
  # sound requests lack; a fingerprint of the whole request never sees one again.
  Scenario Outline: Requests with a part that crashes runners are refused, sound ones run
    Given 3 gateways and 6 runners that crash under parts and return with <id>
    When sound requests come 10 times a second for 5 seconds
    And they go on beside requests with the part "bad", 3 a second for 15 seconds
    Then at most 3 requests with it reach runners later than 3 s after the fifth crash
    And from 6 s after it sound requests begin at least half as often as before

    Examples:
      | id          |
      | a new id    |
      | the same id |

  # An event cleared the parts of its request, so that such a part was never blamed.
  Scenario: Requests with a part that crashes runners after three events are refused
    Given 3 gateways and 6 runners that crash after 3 events under parts
    When sound requests come 10 times a second for 5 seconds
    And they go on beside requests with the part "bad", 3 a second for 15 seconds
    Then at most 3 requests with it reach runners later than 3 s after the fifth crash
    And from 6 s after it sound requests begin at least half as often as before

  # A stream that others break is no culprit; the rules count from a third crash on.
  Scenario: A stream that other requests broke at two runners goes on when it is taken up
    Given 1 gateway and 3 runners that crash under parts and return with a new id
    When 20 sound requests have run
    And a caller streams, and its runner crashes twice under requests with the part "bad"
    And the caller takes the stream up where it broke
    Then the stream goes on to its end

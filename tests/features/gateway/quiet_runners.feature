Feature: Runners that fall silent and go on, or stay silent

  Scenario: A stream is complete although its only runner was silent
    Given 1 gateway and 1 slow runner
    When a stream of "/resume/1" runs at gateway 0
    And its runner falls silent for 1.5 seconds
    And the stream ends
    Then the response is 200, signed and complete with 12 events
    And the runners received one request in total
    And gateway 0 has no request in flight

  Scenario: A stream is complete although its only runner was silent at its start
    Given 1 gateway and 1 slow runner
    When runner 0 falls silent for 1.5 seconds
    And a caller requests "/resume/1" from gateway 0
    Then the response is 200, signed and complete with 12 events
    And the runners received one request in total

  Scenario: A stream waits for a silent runner once its attempts are used up
    Given 1 gateway and 2 slow runners
    When a stream of "/resume/1" runs at gateway 0
    And its runner falls silent
    And the stream goes on at the other runner
    And its runner falls silent for 1.5 seconds
    And the stream ends
    Then the response is 200, signed and complete with 12 events
    And gateway 0 has no request in flight

  Scenario: A stream waits for a silent runner while all others are full
    Given 1 gateway and 2 runners with 1 slot and long streams
    When a stream of "/once/1" begins at gateway 0
    And a stream of "/resume/1" runs at gateway 0
    And its runner falls silent for 1.5 seconds
    And all streams end
    Then each response is complete with 50 events
    And the runners received 2 requests in total
    And gateway 0 has no request in flight

  Scenario: A stream leaves a silent runner for one with room
    Given 1 gateway and 2 slow runners
    When a stream of "/resume/1" runs at gateway 0
    And its runner falls silent
    And the stream ends
    Then the response is 200, signed and complete with 12 events
    And the longest gap of the response is under 2 seconds
    And the runners received 2 requests in total
    And the silent runner stops the run when it goes on
    And gateway 0 has no request in flight

  Scenario: A stream leaves a silent runner before its first event
    Given 1 gateway and 2 slow runners
    And runner 1 registers as draining
    When runner 0 falls silent
    And a stream of "/resume/1" is sent to gateway 0
    And runner 1 registers as ready
    And the stream ends
    Then the response is 200, signed and complete with 12 events
    And the longest gap of the response is under 2 seconds
    And gateway 0 has no request in flight

  Scenario: The runner that a stream moves to refuses it
    Given 1 gateway, 1 slow runner and 1 runner that refuses all requests
    And runner 1 registers as draining
    When a stream of "/resume/1" runs at gateway 0
    And runner 1 registers as ready
    And its runner falls silent for 1.5 seconds
    And the stream ends
    Then the response is 200, signed and complete with 12 events
    And gateway 0 has no request in flight

  Scenario: A planned stop cuts no stream whose only runner is silent
    Given 2 gateways and 1 slow runner
    When a stream of "/resume/1" runs at gateway 0
    And its runner falls silent for 2.2 seconds
    And gateway 0 is asked to stop
    And the stream ends
    Then the response is 200, signed and complete with 12 events
    And gateway 0 exits within 8 seconds

  Scenario: A planned stop cuts no stream that leaves a silent runner
    Given 2 gateways and 2 slow runners
    When a stream of "/resume/1" runs at gateway 0
    And its runner falls silent
    And gateway 0 is asked to stop
    And the stream ends
    Then the response is 200, signed and complete with 12 events
    And the longest gap of the response is under 2 seconds
    And gateway 0 exits within 8 seconds

  Scenario: A stream that may not be repeated waits for its silent runner
    Given 1 gateway and 2 slow runners
    When a stream of "/once/1" runs at gateway 0
    And its runner falls silent for 1.5 seconds
    And the stream ends
    Then the response is 200, signed and complete with 12 events
    And the runners received one request in total

  Scenario: A stream at a runner that stays silent ends by its deadline
    Given 1 gateway and 1 slow runner
    When a stream of "/resume/1" with a deadline of 2.0 seconds runs at gateway 0
    And its runner falls silent
    And the stream ends
    Then the response is incomplete
    And the response ended within 2.3 seconds
    And gateway 0 has no request in flight

  Scenario: A caller disconnects while its request waits for a silent runner
    Given 1 gateway and 1 slow runner
    When runner 0 falls silent
    And a caller of "/resume/1" disconnects after 1.3 seconds
    Then gateway 0 has no request in flight

  Scenario: Batch items wait for silent runners
    Given 1 gateway and 2 slow runners
    When a job of 8 items is submitted at gateway 0
    And items run at all runners, which fall silent for 1.5 seconds
    Then within 10 seconds all items are completed at gateway 0
    And no item ran twice

  Scenario: New requests avoid a runner while it is silent
    Given 1 gateway and 2 slow runners
    When a stream of "/once/0" runs at gateway 0
    And its runner falls silent
    Then gateway 0 notes it after at most 1.2 seconds of silence
    And then 6 requests run at the other runner

  Scenario: Bytes on both sides of a silence arrive unchanged
    Given a connection whose reads and writes are patient
    When the peer sends a response with silences within its head and its chunks
    Then the body is complete
    And each silence was reported
    When a large request is sent while the peer reads nothing for a while
    Then the peer receives it unchanged

  Scenario: A reserved place that is not used is released
    Then a reserved place is released once, unless an attempt has taken it

Feature: Every caller gets the complete response to its own request

  Scenario Outline: Incomplete responses and those of other requests are not relayed
    Given runners of which number 0 has the fault "<fault>"
    When 8 calls with different ids and lengths are made at once, 3 times
    Then each caller got the complete response to its own request

    Examples:
      | fault              |
      | cross=true         |
      | late=true          |
      | truncate=true      |
      | short_length=true  |
      | double=true        |
      | fail_status=500    |

  Scenario Outline: A broken stream is resumed
    Given runners of which number 0 has the fault "<fault>"
    When 20 streams of 8 tokens are read at once
    Then each stream was complete
    And some run was resumed

    Examples:
      | fault                               |
      | break_after=3                       |
      | break_after=0                       |
      | break_after=3 cut_event=true        |
      | break_after=3 size_digits=8 cut_size=true |
      | size_digits=8 truncate=true         |
      | stall_after=3                       |
      | truncate=true                       |

  Scenario Outline: An event of another request in a stream is never relayed
    Given runners of which number 0 has the fault "<fault>"
    And runner 1 has the fault "stray_after=5"
    When 20 streams of 8 tokens are read at once
    Then each stream was complete
    And some run was resumed

    Examples:
      | fault         |
      | stray_after=3 |
      | break_after=3 |

  Scenario: A stream that begins with another request's event is never accepted as complete
    Given runners of which number 0 has the fault "stray_after=0"
    When 20 streams of 8 tokens are read at once, and some may fail
    Then each stream was complete or failed
    When 20 streams of 8 tokens are read at once
    Then each stream was complete

  Scenario: A runner is killed in the middle of a stream
    Given runners without faults
    When the runner of a stream of 30 tokens is killed after 5 tokens
    Then the stream was complete

  Scenario: A stream that can't be resumed ends with an error
    Given runners that can't resume, of which each has the fault "break_after=3"
    Then the published client raises on a stream of 8 tokens after 3
    And the raw stream ends with an error event and without end marker
    Given each runner has the fault "break_after=3 cut_event=true"
    Then the published client raises on a stream of 8 tokens after 3
    And the raw stream ends with an error event and without end marker

  Scenario: Errors of the runner itself are relayed unchanged
    Given runners of which number 0 has the fault "fail_status=422"
    And each runner has the fault "fail_status=422"
    Then a call gets status 422 after exactly one run

  Scenario Outline: The slot of a disconnected caller is released immediately
    Given one runner with one slot and a token each 0.2 s
    When a caller closes its connection <moment>
    Then the runner has no run in flight within 1 s
    And another caller gets a response within 2 s

    Examples:
      | moment                       |
      | while a response is generated |
      | in the middle of a stream    |
      | while queued                 |

  Scenario: An unrepeatable call whose endpoint crashes is not sent to a second one
    Given a node with 2 services of which each crashes on a marked call
    When a marked unrepeatable call is made
    Then it is refused with outcome_unknown and execution unknown
    And it was run once

  Scenario Outline: A response that <breaks> half-way on the network is not accepted as complete
    Given a runner that can't resume behind a link
    When the link <breaks> half-way through a complete response of 3000 tokens
    Then the caller got an error with unknown execution
    When the link <breaks> half-way through a stream of 4000 tokens
    Then the client raises before the stream's end
    And a call gets a complete response after the link is healed

    Examples:
      | breaks |
      | stalls |
      | drops  |

  Scenario: A caller that disconnects after its response cancels no other call
    Given one runner with one slot and a token each 0.2 s
    When a response was read, its connection serves another call, and the first is aborted
    Then the second call gets the complete response

  Scenario: A call is refused in time if the dispatcher never decides
    Given a dispatcher that never decides
    When a call waits for a slot past its deadline
    Then it is refused as overloaded with a time to retry after

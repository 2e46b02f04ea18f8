Feature: Invalid input gets a clear error and does not affect other callers

  Scenario: Malformed requests are refused in the published format and never run
    Given a node with small limits
    Then these requests are refused
      | request             | status | code                 |
      | body over its limit | 413    | request_too_large    |
      | chunks over limit   | 413    | request_too_large    |
      | headers over limit  | 431    | headers_too_large    |
      | not JSON            | 400    | invalid_request      |
      | not UTF-8           | 400    | invalid_request      |
      | deep nesting        | 400    | invalid_request      |
      | duplicate name      | 400    | invalid_request      |
      | NaN                 | 400    | invalid_request      |
      | length and chunks   | 400    | invalid_request      |
      | two lengths         | 400    | invalid_request      |
      | chunks in HTTP/1.0  | 400    | invalid_request      |
      | bad chunk           | 400    | invalid_request      |
      | two authorizations  | 401    | invalid_api_key      |
      | dot segments        | 400    | invalid_request      |
      | line break in path  | 400    | invalid_request      |
      | slow head           | 408    | request_timeout      |
    And no endpoint ran anything

  Scenario: A thousand idle and slow connections do not delay other calls
    Given a node with small limits
    When 1000 connections are opened, half of them in the middle of a head
    Then a call gets a response within 2 s

  Scenario: Simultaneous connections are accepted in few passes of the server loop
    Given a listener for at most 350 connections
    When 400 connections are pending and its loop makes 3 passes
    Then it has at least 340 and at most 350 connections

  Scenario: A call that finds all threads busy is refused after its maximum wait
    Given a node with 4 threads for calls, which may wait 1 s
    When 4 streams of 8 s run and 3 further calls arrive
    Then the 3 calls are refused as overloaded and not run, before a stream ends
    And the streams are complete, and a later call gets a response

  Scenario: Large bodies are not kept in memory
    Given a node with small limits
    When 30 bodies of 20 MB are sent at once to a model
    Then each was refused as too large
    And the node's memory has grown by at most 64 MB

  Scenario: A listener starts threads on demand up to its limit
    Given a listener's threads, at most 4
    When 6 long tasks are added
    Then 4 of them run concurrently, and the others after these have ended
    And no more than 4 threads were started

  Scenario: A task is refused though the refusing thread found the queue empty before it
    Given a listener whose only thread is busy, and tasks may wait 0.5 s
    When a task is added, and the refusing thread looks at the queue just before
    Then the task is refused within 3 s

  Scenario: A task that may wait a short time is refused before one that may wait long
    Given a listener whose only thread is busy, and tasks may wait 60 s
    When a task that may wait long is added, then one that may wait 0.5 s
    Then the task is refused within 3 s

  # A burst at a node that had just started waited for the start of each thread in turn.
  Scenario: The starts of threads that are late do not add up
    Given a listener whose threads begin 0.3 s after their start
    When 8 tasks are added
    Then they were added within 0.3 s, and all run within 2 s

Feature: From the id of a failed request to its cause, by logs and metrics

  Scenario: A refused request
    Given 1 gateway and 1 slow runner with 1 slot
    When 8 callers ask at once
    Then the account of a refused request tells "request given up" and "all endpoints are busy"
    And the metrics count refused requests

  Scenario: A late request
    Given 1 gateway and 1 slow runner with 1 slot
    When 2 callers ask at once
    Then the account of the slowest request tells "request placed" and "stream ended"
    And it tells how many requests were in flight and the time to the first event

  Scenario: A broken stream
    Given 1 gateway and 2 runners of which 2 break after 2 events
    When somebody asks "/once/1" at gateway 0
    Then the account of the request tells "attempt failed" and "was interrupted"

  Scenario: An item that was given up
    Given 1 gateway and 2 runners that answer 422 on "never" and 500 on "fails"
    When a job with an item "never", an item "fails" and 2 others is submitted
    Then within 10 seconds "never" and "fails" are given up, others done
    And the account of the item "never" tells "item run ended" and "answered 422"
    And the account of the job tells "job accepted" and "results listed"

  Scenario: What a gateway believes
    Given 2 gateways and 2 runners
    When a job of 4 items is submitted at gateway 0
    Then the command line shows its version, endpoints, peers, limits and that job

  Scenario: No key stands in a log
    Given 2 gateways and 1 runner
    When somebody asks "/once/1" at gateway 0
    Then "/once/1" with key "key-other" is answered 401
    And no log holds "key-yard" or "key-other"

Feature: Logs and metrics show the cause of a failed request by its id

  Scenario: A refused request
    Given 1 gateway and 1 slow runner with 1 slot
    When 8 callers send requests at once
    Then the explanation of a refused request contains "request given up" and "all endpoints are busy"
    And the metrics count refused requests

  Scenario: A late request
    Given 1 gateway and 1 slow runner with 1 slot
    When 2 callers send requests at once
    Then the explanation of the slowest request contains "request placed" and "stream ended"
    And it contains the number of requests in flight and the time to the first event

  Scenario: A broken stream
    Given 1 gateway and 2 runners of which 2 break after 2 events
    When a caller requests "/once/1" from gateway 0
    Then the explanation of the request contains "attempt failed" and "was interrupted"

  Scenario: An item that was given up
    Given 1 gateway and 2 runners that answer 422 on "never" and 500 on "fails"
    When a job with an item "never", an item "fails" and 2 others is submitted
    Then within 10 seconds "never" and "fails" are given up, others done
    And the explanation of the item "never" contains "item run ended" and "answered 422"
    And the explanation of the job contains "job accepted" and "results listed"

  Scenario: A gateway's view of the fleet
    Given 2 gateways and 2 runners
    When a job of 4 items is submitted at gateway 0
    Then the command line shows the version, endpoints, peers, limits and that job

  Scenario: No key appears in a log
    Given 2 gateways and 1 runner
    When a caller requests "/once/1" from gateway 0
    Then a request for "/once/1" with key "key-other" returns 401
    And no log contains "key-yard" or "key-other"

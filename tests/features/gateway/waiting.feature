Feature: Requests that wait before a gateway handles them

  Scenario: Requests that no thread takes are refused before their deadline
    Given a gateway with 4 threads and runners with streams of 4 s
    When 4 streams run and 6 requests with a deadline of 1 s arrive
    Then the requests are refused as not run within 1 s
    And the gateway has logged within 1 s that no thread took them
    And the streams are complete, and no other request ran

  Scenario: A request that waited for a thread is given the rest of its time
    Given a gateway with 4 threads and runners with streams of 1 s
    When 4 streams run and 1 request with a deadline of 4 s arrives
    Then the request is complete, and was given no more than the rest of its time
    And the gateway's metrics and log tell that it waited

  Scenario: A request that arrived while a gateway was suspended is given the rest of its time
    Given 1 gateway and 1 runner
    When a request with a deadline of 4 s arrives while gateway 0 is suspended for 1 s
    Then the request is complete, and was given no more than the rest of its time
    And the gateway's metrics and log tell that it waited

  Scenario: A request that arrived while a gateway was suspended has its answer by the deadline
    Given 1 gateway and 1 runner
    And the runner is silent for 10 s
    When a request with a deadline of 3 s arrives while gateway 0 is suspended for 1 s
    Then it is answered at most 0.5 s after its deadline

  Scenario: A request whose deadline passed while a gateway was suspended is refused
    Given 1 gateway and 1 runner
    When a request with a deadline of 1 s arrives while gateway 0 is suspended for 2 s
    Then it is refused as not run when the gateway goes on
    And no request ran

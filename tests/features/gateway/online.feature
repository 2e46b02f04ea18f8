Feature: Online requests through gateways on the platform

  Scenario: A gateway relays a complete stream for the key's workspace
    Given 2 gateways and 2 runners
    When a caller requests "/once/1" from gateway 0
    Then the response is 200, signed and complete with 6 events
    And the runners received one request, for workspace "yard" and without the key

  Scenario: Keys, routes and public routes
    Given 1 gateway and 1 runner
    Then a request for "/once/1" with key "key-other" returns 401
    And a request for "/nowhere/1" with key "key-yard" returns 404
    And a request for "/open/1" without a key returns 200

  Scenario: A removed key is rejected within two seconds, an added one works
    Given 2 gateways and 1 runner
    When the key "key-yard" is replaced by "key-new"
    Then within 2 seconds all gateways return 401 for "/once/1" with key "key-yard"
    And a request for "/once/2" with key "key-new" returns 200

  Scenario: A resumable stream continues at another runner, each event once
    Given 1 gateway and 2 runners of which 1 breaks after 2 events
    When a caller requests "/resume/1" from gateway 0 until each runner has run one
    Then each response has the events 1 to 6 in order
    And a run resumed after event 2

  Scenario: An interrupted stream that may not be repeated runs once and is incomplete
    Given 1 gateway and 2 runners of which 2 break after 2 events
    When a caller requests "/once/1" from gateway 0
    Then the response is incomplete
    And the runners received one request in total

  Scenario: A crash before the first event of a stream that may not be repeated
    Given 1 gateway and 2 runners that crash on "poison"
    When a caller requests "/once/poison" from gateway 0
    Then the response status is 502
    And the runners received one request in total

  Scenario: A request that crashes runners is quarantined
    Given 2 gateways and 4 runners that crash on "poison"
    When a caller requests "/resume/poison" 4 times from each gateway
    Then at most 3 runners have crashed

  Scenario: A draining runner gets no new requests
    Given 1 gateway and 2 runners
    When runner 0 registers as draining
    Then after 1 second 8 requests reach only runner 1

  Scenario: Runners whose entries expire during a store outage keep serving
    Given 1 gateway and 2 runners
    When the store is down while all runners' entries expire
    Then a request for "/once/1" with key "key-yard" returns 200
    When the store recovers and runner 0 registers again within a second
    Then a request for "/once/2" with key "key-yard" returns 200
    And after 3 seconds runner 1, which has not registered again, gets no requests

  Scenario: A watch whose history was dropped reads the list again
    Given 1 gateway and 1 runner
    When the store drops its history and the key "key-yard" is replaced by "key-new"
    Then within 2 seconds all gateways return 401 for "/once/1" with key "key-yard"

  Scenario: A workspace's quota applies across all gateways
    Given 3 gateways and 2 runners and a rate of 4 and a burst of 4
    When callers send 120 requests in 5 seconds to all gateways in turn
    Then the runners ran between 12 and 46 requests
    And the others got 429 with a Retry-After header

  Scenario: A run stops when its caller disconnects
    Given 1 gateway and 1 slow runner
    When a caller disconnects after the first event
    Then within 0.5 seconds no run is in progress

  Scenario: A full fleet refuses requests at once
    Given 1 gateway and 1 slow runner with 1 slot
    When 8 callers send requests at once
    Then some get 503 within 0.1 seconds
    And refused requests never run

  Scenario: A planned stop cuts no request
    Given 2 gateways and 2 slow runners
    When gateway 0 is asked to stop while 6 requests run there
    Then all 6 responses are complete
    And the directory of gateway 1 lists only gateway 1
    And gateway 0 exits within 8 seconds

  Scenario: A gateway that starts during a store outage gets its configuration from a peer
    Given 2 gateways and 1 runner
    When the store is down and gateway 0 is killed and restarted
    Then gateway 0 serves callers within 6 seconds

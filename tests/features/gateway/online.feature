Feature: Online requests through gateways on the platform

  Scenario: A gateway serves a stream whole, for the key's workspace
    Given 2 gateways and 2 runners
    When somebody asks "/once/1" at gateway 0
    Then the answer is 200, signed and whole with 6 events
    And the runners got it once, for "yard" and without the key

  Scenario: Keys, routes and public routes
    Given 1 gateway and 1 runner
    Then "/once/1" with key "key-other" is answered 401
    And "/nowhere/1" with key "key-yard" is answered 404
    And "/open/1" without a key is answered 200

  Scenario: A withdrawn key stops within two seconds, an added one works
    Given 2 gateways and 1 runner
    When the key "key-yard" is replaced by "key-new"
    Then within 2 seconds "/once/1" with key "key-yard" is answered 401 everywhere
    And "/once/2" with key "key-new" is answered 200

  Scenario: A resumable stream goes on at another runner, each event once
    Given 1 gateway and 2 runners of which 1 breaks after 2 events
    When somebody asks "/resume/1" at gateway 0 until both runners ran one
    Then each answer has the events 1 to 6 in order
    And a run went on after event 2

  Scenario: A stream that may not be repeated runs once and never looks whole
    Given 1 gateway and 2 runners of which 2 break after 2 events
    When somebody asks "/once/1" at gateway 0
    Then the answer is cut short
    And the runners got it once in all

  Scenario: A crash before the first event of a stream that may not be repeated
    Given 1 gateway and 2 runners that crash on "poison"
    When somebody asks "/once/poison" at gateway 0
    Then the answer is 502
    And the runners got it once in all

  Scenario: A request that crashes runners is not run for long
    Given 2 gateways and 4 runners that crash on "poison"
    When somebody asks "/resume/poison" 4 times at both gateways
    Then at most 3 runners have crashed

  Scenario: A leaving runner gets no new work
    Given 1 gateway and 2 runners
    When runner 0 says that it leaves
    Then after 1 second 8 requests reach runner 1 alone

  Scenario: Runners whose entries lapse in an outage of the store serve on
    Given 1 gateway and 2 runners
    When the store is down while all runners' entries lapse
    Then "/once/1" with key "key-yard" is answered 200
    When the store is back and the runners are listed again within a second
    Then "/once/2" with key "key-yard" is answered 200
    And an entry that stays away is gone after 3 seconds

  Scenario: A watch whose history was dropped lists anew
    Given 1 gateway and 1 runner
    When the store forgets its history and the key "key-yard" is replaced by "key-new"
    Then within 2 seconds "/once/1" with key "key-yard" is answered 401 everywhere

  Scenario: A workspace is held to its quota over all gateways
    Given 3 gateways and 2 runners and a rate of 4 and a burst of 4
    When somebody asks 120 times in 5 seconds at all gateways in turn
    Then the runners ran between 12 and 46 requests
    And the others were refused with 429 and a time to return

  Scenario: A caller who hangs up stops the run
    Given 1 gateway and 1 slow runner
    When a caller leaves after the first event
    Then within 0.5 seconds nothing runs

  Scenario: A full fleet refuses at once
    Given 1 gateway and 1 slow runner with 1 slot
    When 8 callers ask at once
    Then some are refused with 503 within 0.1 seconds
    And a refused request never runs

  Scenario: A planned stop cuts no request
    Given 2 gateways and 2 slow runners
    When gateway 0 is asked to stop while 6 requests run there
    Then all 6 answers are whole
    And the directory of gateway 1 tells gateway 1 alone
    And gateway 0 ends within 8 seconds

  Scenario: A gateway that starts while the store is away learns from a peer
    Given 2 gateways and 1 runner
    When the store is down and gateway 0 is killed and started again
    Then gateway 0 takes callers within 6 seconds

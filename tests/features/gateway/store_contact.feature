Feature: Watches of the store are renewed once their connections seem to be silent

  Scenario: No probe is sent while calls on older connections are answered
    Given connections to the store that were proved sound
    When calls on an older connection are answered every 2 seconds for 60 seconds
    Then there were 0 probes and 0 renewals

  Scenario: Answers on newer connections do not hide the silence of older ones
    Given connections to the store that were proved sound
    When all connections fall silent and calls on new ones are answered
    Then the connections are renewed within 4.1 seconds

  Scenario: A call that times out renews the connections at once
    Given connections to the store that were proved sound
    When a call on an older connection times out after 1.0 seconds
    Then the connections are renewed within 0.1 seconds

  Scenario: A call that waited a short time leads to a probe, and no renewal if answered
    Given connections to the store that were proved sound
    When a call on an older connection times out after 0.3 seconds
    Then there were 1 probes and 0 renewals

  Scenario: A store that never answers is asked at a bounded rate
    Given connections to the store that were proved sound
    When the store answers nothing for 60 seconds, and 20 calls a second time out
    Then there were 15 to 60 probes and 10 to 20 renewals

  Scenario: A time-out on a connection from before a renewal is no evidence
    Given connections to the store that were proved sound
    When a call on an older connection times out after 1.0 seconds
    And calls that were sent before the renewal time out after it
    Then there were 1 probes and 1 renewals

  # A second silence right after the renewal may take all watches that it has begun anew.
  Scenario: A call is lost right after a renewal
    Given connections to the store that were proved sound
    When a call on an older connection times out after 1.0 seconds
    And a call that was sent 0.1 seconds after the renewal times out after 2.8 seconds
    Then the connections are renewed again within 3.0 seconds after the call was sent

  Scenario: A store that closes idle connections causes no renewal
    Given connections to the store that were proved sound
    When each probe is answered on a new connection for 60 seconds
    Then there were 18 to 21 probes and 0 renewals

  Scenario: A renewed watch tells each change once
    Given a watcher of "batch-ends" whose connections can fall silent
    When its connections fall silent and 3 documents are written
    And the connections are renewed
    And 2 documents are written
    Then the watcher has told each of 5 documents once, without an outage

  # The second watch reads at a tenth of the price, which may show what the store held
  # seconds before.
  Scenario Outline: A guarded watch begins in a short silence of the store
    Given a guarded watcher of "servers", and outdated reads of <age> seconds ago
    When the store answers nothing from 0.3 to 0.5 seconds after a document was written
    And another document is written
    Then the watcher has told 2 documents within 3.0 seconds

    Examples:
      | age |
      | 0   |
      | 4   |

  Scenario: A call from before the renewal by a guard times out after it
    Given a guarded and probed watcher of "servers", and outdated reads of 0 seconds ago
    When the store answers nothing from 0.3 to 0.5 seconds after a document was written, and loses a write that waits for 4 seconds
    And another document is written
    Then the watcher has told 2 documents within 3.0 seconds
    And the watch was renewed 1 time when that write has timed out

  Scenario: Probes ask a silent store in place of its watches
    Given a guarded and probed watcher of "servers", and outdated reads of 0 seconds ago
    When the store answers nothing for 9 seconds
    Then it received at most 3 watches in that time
    When another document is written
    Then the watcher has told 1 documents within 1.5 seconds

  Scenario: A guarded watch is lost right after a silent store returned
    Given a guarded and probed watcher of "servers", and outdated reads of 4 seconds ago
    When the store answers nothing for 5 seconds
    And a watch that begins after that is lost
    And another document is written
    Then the watcher has told 1 documents within 3.0 seconds

  Scenario: A standby's call is lost, and then one of the watch that it guards
    Given a guarded watcher of "servers", and outdated reads of 4 seconds ago
    When the store answers nothing from 2.1 to 2.4 seconds after a document was written
    And the store answers nothing from 0.3 to 0.5 seconds after a document was written
    And another document is written
    Then the watcher has told 3 documents within 3.0 seconds

  Scenario: Calls that begin during a renewal are not interrupted
    Given a watcher of "batch-ends" whose connections can fall silent
    When 4 threads read 200 times while the connections are renewed at least 50 times
    Then no read fails

  Scenario: Idle gateways send few probes and renew no watch
    Given 2 gateways and 1 runner whose connections can fall silent
    When nothing happens for 4 seconds
    Then each gateway has sent at most 2 probes, and 2 more for each renewal by a time-out
    When nothing happens for 15 seconds
    Then the store received 0 probes in that time
    And each guard has asked every 1.8 to 2.0 seconds
    And each gateway has renewed 0 watches in that time

  Scenario: A silent store is asked at a bounded rate and followed after its return
    Given 2 gateways and 1 runner whose connections can fall silent
    When the store answers nothing for 12 seconds
    Then it received at most 80 calls in that time
    When the key "key-yard" is replaced by "key-new"
    Then within 7 seconds all gateways return 401 for "/safe/1" with key "key-yard"

Feature: An unrepeatable call runs at most once

  Scenario: A service is down
    Given a fleet of 1 nodes with 2 services for unrepeatable calls
    When service 0 is killed
    Then each of 8 unrepeatable calls succeeds and was run once

  Scenario: A call resent to another node gets the same response
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    When a keyed call is made at node 0 and again at node 1
    Then both responses are the same, and the second is marked as a replay
    And the keyed call was run once
    And the same key with another body is refused with conflict and not_run

  Scenario: A call resent while it runs is refused with a retry delay
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    And each service holds its calls
    When a keyed call is sent again to node 1 while node 0 runs it
    Then the resent call is refused with request_in_progress, unknown and a retry delay
    And the call resent to node 1 succeeds within 5 s
    And the keyed call was run once

  Scenario: The node is killed while the call runs
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    And each service holds its calls
    When node 0 is killed while it runs a keyed call
    Then calls resent to node 1 are refused with outcome_unknown and unknown within 12 s
    And the keyed call was run once

  Scenario: The node is killed while the call waits for a slot
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    When node 0 is killed while a keyed call waits for a slot
    Then the call succeeds when resent to node 1
    And the keyed call was run once

  Scenario: The node is killed while it creates the record
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    When node 0 is killed while it creates the record of a keyed call
    Then calls resent to node 1 are refused with outcome_unknown and unknown within 12 s
    And the keyed call was run 0 times

  Scenario: The node is killed between the service's response and the storing of it
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    And each service holds its calls
    When node 0 is disconnected from the platform while it runs a keyed call
    Then the caller of node 0 gets the response
    When node 0 is killed and listed as gone
    Then calls resent to node 1 are refused with outcome_unknown and unknown within 12 s
    And the keyed call was run once

  Scenario: The node is frozen while the call runs
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    And each service holds its calls
    When node 0 is frozen for 6 s while it runs a keyed call
    And the keyed call is resent to node 1
    Then the resent call is refused with request_in_progress, unknown and a retry delay
    When node 0 is resumed
    Then the caller of node 0 gets the response
    And the call resent to node 1 succeeds within 5 s
    And the keyed call was run once

  Scenario: The node is frozen beyond its dispatch term before it sends the call
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    When node 0 is frozen while it creates the record of a keyed call
    Then calls resent to node 1 are refused with outcome_unknown and unknown within 12 s
    When node 0 is resumed
    Then the caller of node 0 is refused with overloaded and not_run
    And the keyed call was run 0 times
    And the call succeeds when resent to node 1
    And the keyed call was run once

  Scenario: The platform is down
    Given a fleet of 1 nodes with 1 services for unrepeatable calls
    When the platform is down
    Then a keyed call is refused with platform_unavailable, not_run and a retry delay
    And the keyed call was run 0 times
    And each of 2 unrepeatable calls succeeds and was run once
    When the platform is up again
    Then the call succeeds when resent to node 0
    And the keyed call was run once

  Scenario: After a refusal as not run the key can be used again
    Given a fleet of 1 nodes with 1 services for unrepeatable calls
    When a keyed call is refused by the only service
    Then the refusal says not_run
    When the service accepts calls again
    Then the call succeeds when resent to node 0

  Scenario: A caller that disconnects can get the response later
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    And each service holds its calls
    When the caller of a keyed call disconnects while it runs
    Then the call resent to node 1 succeeds within 5 s
    And the keyed call was run once

  Scenario: A keyed stream is stored completely
    Given a fleet of 2 nodes with 1 services for unrepeatable calls
    When a keyed stream is read at node 0 and again at node 1
    Then both streams are the same, and the call was run once

  Scenario: Retries stay within their budget
    Then in 200 random runs retries never exceed the burst plus a tenth of the requests

  Scenario: Random runs of records with lost responses, outages, clock skew and pauses
    Then in 150 random runs with four nodes each key is dispatched at most once

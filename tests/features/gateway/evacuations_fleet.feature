# Rule EVAC of docs/design/cold-endpoints-evacuations-homes.md: from 5 s after the store's
# answer to the write of an evacuation's entry until the entry is removed, nothing reaches
# an endpoint of the failure domain; in steady state from 1 s on.
@evacuations
Feature: Failure domains are evacuated, and used again afterwards

  Scenario: An evacuated domain gets requests and streams
    Given 3 gateways and 6 runners in the failure domains a1, a2 and b1
    And callers send 20 requests a second on safe to all gateways for 14 seconds
    And callers send 10 requests a second on resume to all gateways for 14 seconds
    When the operator evacuates a1
    And 8 seconds pass
    And the operator ends the evacuation
    Then all requests of the callers were answered
    And nothing reached a1 later than 1 s after the entry was written
    And the runners elsewhere got requests meanwhile
    And each runner of a1 got requests again

  Scenario: Items and resumed streams go to an evacuated domain
    Given 3 gateways and 6 runners that break streams, in the failure domains a1, a2 and b1
    And callers send 10 requests a second on resume to all gateways for 12 seconds
    And a job of 400 items runs
    When the operator evacuates a2
    And 10 seconds pass
    And the operator ends the evacuation
    Then nothing reached a2 later than 5 s after the entry was written

  Scenario: Requests that run in a domain at its evacuation are cut
    Given 3 gateways and 6 runners with long streams, in the failure domains a1, a2 and b1
    And callers send 10 requests a second on once to all gateways for 9 seconds
    When the operator evacuates a1
    And 7 seconds pass
    And the operator ends the evacuation
    Then all requests of the callers were answered
    And nothing reached a1 later than 5 s after the entry was written

  Scenario: Two domains are evacuated at once
    Given 3 gateways and 6 runners in the failure domains a1, a2 and b1
    And callers send 20 requests a second on safe to all gateways for 10 seconds
    When the operator evacuates a1 and a2
    And 8 seconds pass
    And the operator ends the evacuation
    Then all requests of the callers were answered
    And nothing reached a1 and a2 later than 5 s after the entry was written
    And the runners elsewhere got requests meanwhile

  Scenario: All domains are evacuated, and requests run all the same
    Given 3 gateways and 6 runners in the failure domains a1, a2 and b1
    And callers send 20 requests a second on safe to all gateways for 9 seconds
    When the operator evacuates a1 and a2 and b1
    And 8 seconds pass
    And the operator ends the evacuation
    And 2 seconds pass
    And callers send 10 requests a second on safe for 3 seconds
    Then nothing reached a1 and a2 and b1 later than 5 s after the entry was written
    And requests sent from 5 s on were refused with 503 and a Retry-After
    And the requests sent after the end were answered

  Scenario Outline: An entry for <domain>, where no endpoint is, disturbs the service
    Given 3 gateways and 6 runners in the failure domains a1, a2 and b1
    And callers send 20 requests a second on safe to all gateways for 8 seconds
    When the operator evacuates <domain>
    And 6 seconds pass
    And the operator ends the evacuation
    Then all requests of the callers were answered
    And the runners elsewhere got requests meanwhile

    Examples:
      | domain         |
      | a3             |
      | no-such-domain |

  Scenario: An evacuation ends when the store is away
    Given 3 gateways and 6 runners in the failure domains a1, a2 and b1
    And callers send 20 requests a second on safe to all gateways for 14 seconds
    When the operator evacuates a1
    And 5 seconds pass
    And the store is away for 6 seconds
    Then nothing reached a1 later than 5 s after the entry was written

  Scenario: A gateway that starts during an evacuation doesn't know of it
    Given 3 gateways and 6 runners in the failure domains a1, a2 and b1
    When the operator evacuates a1
    And 5 seconds pass
    And the process of gateway 0 is killed and started again
    And callers send 20 requests a second on safe for 4 seconds
    Then nothing reached a1 later than 5 s after the entry was written
    And the requests sent after the end were answered

  Scenario: The remaining endpoints became cold just before an evacuation
    Given 3 gateways and 6 runners in the failure domains a1, a2 and b1
    And callers send 30 requests a second on safe to all gateways for 10 seconds
    When the runners elsewhere become cold and the operator evacuates a1 and a2
    And 8 seconds pass
    And the operator ends the evacuation
    And the requests have ended
    Then nothing reached a1 and a2 later than 5 s after the entry was written
    And no cold runner got more than its bound in any second

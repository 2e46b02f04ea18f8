Feature: Refusals name evacuations where these may be the cause, at little cost

  # Each refusal with 503 asked the coordinator, also in a peak of refusals.
  Scenario Outline: 200 requests are refused within a second since <cause>
    Given a node of which the domains "<domains>" are evacuated
    When 200 requests are refused within a second since <cause>
    Then the coordinator was asked at most <asks> times
    And <lines> log lines name the evacuated endpoints, and as many are counted

    Examples:
      | cause                       | domains | asks | lines |
      | all endpoints are full      | none    | 0    | 0     |
      | all endpoints are full      | a       | 3    | 200   |
      | endpoints refused them      | a       | 3    | 200   |
      | no region is allowed        | a       | 0    | 0     |
      | no node knows their streams | a       | 0    | 0     |

  Scenario: Evacuations that begin or end are named at once
    Given a node of which the domains "none" are evacuated
    Then a refusal names "a" after its entry was written, and none after its removal

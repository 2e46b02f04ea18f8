# The directory's part of rule DRAIN of docs/design/cold-endpoints-evacuations-homes.md:
# at most three answers name an instance that was lost more than StableMs + 3 s before.
@directory
Feature: The directory soon ceases to name instances that are lost

  Scenario: Gateways of a small fleet are killed
    Given 4 gateways whose directories name each other
    When gateways 1 are killed
    And callers ask the directories of all others for 10 seconds
    Then at most 3 answers name a gateway that was lost more than 6 seconds before
    And all answers name a running gateway

  # From 14 gateways on, their states are relayed by others, and arrive later.
  Scenario: Gateways of a large fleet are killed
    Given 16 gateways whose directories name each other
    When gateways 3, 8, 15 are killed
    And callers ask the directories of all others for 12 seconds
    Then at most 3 answers name a gateway that was lost more than 6 seconds before
    And all answers name a running gateway

  Scenario: Gateways of a large fleet are stopped
    Given 16 gateways whose directories name each other
    When gateways 3, 8, 15 are stopped, and have exited
    And callers ask the directories of all others for 12 seconds
    Then at most 3 answers name a gateway that was lost more than 6 seconds before
    And all answers name a running gateway

Feature: Nodes on instances with a disk, and invalid settings

  Scenario: An instance is to be emptied while the store is down at first
    Given 1 gateway and 1 runner
    And a storage node
    When its instance is emptied while the store is down for 2 seconds
    Then within 4 seconds the instance is reported as empty

  Scenario: Invalid settings are rejected with their names
    Given 1 gateway and 1 runner
    When a gateway starts with an empty address and a non-numeric grace period
    Then it exits with code 2 and names "listen.data" and "grace_seconds"

Feature: Nodes of instances with a disk

  Scenario: An instance is to be emptied, while the store is away at first
    Given 1 gateway and 1 runner
    And a storage node
    When its instance is to be emptied while the store is down for 2 seconds
    Then within 4 seconds the system says that it is empty

  Scenario: Settings with faults are refused with place and reason
    Given 1 gateway and 1 runner
    When a gateway starts with settings without an address and with a word for a number
    Then it ends with code 2 and names "listen.data" and "grace_seconds"

Feature: Open connections fall silent without a reset, and new ones work

  Scenario: The emulator's silent connections pass nothing and new ones do
    When a connection through a link falls silent
    Then it passes nothing in either direction and is not closed
    And a connection that is opened later passes data

  Scenario: Gateways know each other again after their connections fell silent
    Given 3 gateways and 2 slow runners whose connections can fall silent
    When a job of 200 items is submitted at gateway 0
    And a result is listed
    And all connections among "gateways" fall silent
    Then 5 seconds later every gateway lists the addresses of all gateways
    And within 3 seconds exactly one gateway holds the job

  Scenario: Results are not taken back after connections of gateways fell silent
    Given 3 gateways and 2 runners of 3 slots and 3 seconds an item, with links
    When a job of 60 items is submitted at gateway 0
    And a result is listed
    And all connections among "gateways" fall silent
    Then for 32 seconds no gateway returns fewer results than any did a second before

Feature: Open connections fall silent without a reset, and new ones work

  Scenario: The emulator's silent connections pass nothing and new ones do
    When a connection through a link falls silent
    Then it passes nothing in either direction and is not closed
    And a connection that is opened later passes data

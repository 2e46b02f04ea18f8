Feature: Every stop is taken

  Scenario: A gateway stops when another thread than its main one receives SIGTERM
    Given 1 gateway and 1 runner
    When a thread of gateway 0 other than the main one receives SIGTERM
    Then gateway 0 exits within 8 seconds

  Scenario: A gateway stops when SIGTERM follows SIGHUP at once
    Given 1 gateway and 1 runner
    When threads of gateway 0 other than the main one receive SIGHUP, then SIGTERM
    Then gateway 0 exits within 8 seconds

  Scenario: A node stops when another thread than its main one receives SIGTERM
    Given a fleet of 1 nodes and 1 endpoints
    When a thread of node 0 other than the main one receives SIGTERM
    Then node 0 exits with code 0 within 15 seconds

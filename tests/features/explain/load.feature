Feature: Comparison of load results

  Scenario: The result of a load run is compared with stored baselines
    Given a fleet of 1 nodes and 1 endpoints
    And a load scenario of 2 seconds with a job of 20 items
    When the command line runs the scenario against the fleet
    And its result is compared with one named baseline
    Then the comparison contains both results and the ratios to the first
    When its result is compared with all baselines
    Then the comparison contains its result and the 4 baselines
    When its result is compared with an unknown baseline
    Then the command line lists the 4 baselines

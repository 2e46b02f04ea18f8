Feature: An item that can't succeed ends with an error of its own

  Scenario: Items without a model and items that crash endpoints don't block their job
    Given a batch fleet of 2 nodes and 3 endpoints
    When a job contains 100 good items, 3 for a model that is not there and 2 that crash endpoints
    Then the job ends as completed with 100 results, each item once
    And the error file contains the other 5 items with the codes not_found and request_quarantined
    And the crashing items crashed at most 4 endpoints

  Scenario: An item that always gets an error response ends after 3 attempts
    Given a batch fleet of 1 nodes and 1 endpoints
    When every run ends with status 500 and a job of 2 items runs
    Then the error file contains the other 2 items with the codes endpoint_error
    And each of the 2 items was attempted 3 times

  Scenario: An item whose streams always break is quarantined
    Given a batch fleet of 1 nodes and 1 endpoints
    When every stream breaks at its start and a job of 2 items runs
    Then the error file contains the other 2 items with the codes request_quarantined

Feature: The jobs of a workspace are listed in pages

  Scenario: The OpenAI client lists all jobs page by page
    Given a batch fleet of 1 nodes and 1 endpoints
    When hays submits 7 jobs and salina submits 1
    Then the client lists the jobs of hays 3 at a time, newest first
    And a limit of 0 and a cursor of another workspace are refused

  Scenario: The cost of a page depends on its length and not on the number of jobs
    Given a batch platform that loses the responses to 0 writes
    When 250 jobs are created, and one list entry whose job was refused
    Then all are listed 20 at a time with at most 24 platform calls per page

  Scenario: Jobs created concurrently by several nodes are listed exactly once
    Given a batch platform that loses the responses to 5 writes
    When 4 nodes concurrently create 30 jobs each
    Then all 120 jobs are listed exactly once

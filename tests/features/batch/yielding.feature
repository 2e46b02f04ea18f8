Feature: Batch items yield to online requests and resume afterwards

  Scenario: An item that yielded resumes from its last token
    Given a batch fleet of 1 nodes and 1 endpoints
    When a job of 8 items of 400 tokens fills the endpoint and 6 online requests of 60 tokens arrive
    Then the online requests are served while items run, and 6 items yield to them
    And each item that yielded is resumed from a token it had reached
    And each result belongs to its item, and each item was run

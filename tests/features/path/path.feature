Feature: End-to-end calls with nodes and endpoints as separate processes

  Scenario: The published client runs unchanged against any node
    Given a fleet of 3 nodes and 2 endpoints
    When the openai client lists models, completes and streams at each node
    Then each node returned the model, the complete response and the complete stream
    When the openai client runs a job of 60 items from upload to output file
    Then the output contains each of the 60 items once
    And each item was run once by the endpoints

  Scenario: Refusals become the published client's typed exceptions
    Given a fleet of 1 nodes and 1 endpoints
    Then the openai client raises AuthenticationError for a wrong key
    And the openai client raises NotFoundError for an unknown model
    And the openai client raises BadRequestError for a body without a model

  Scenario: A file of another workspace is not found
    Given a fleet of 1 nodes and 1 endpoints
    When workspace salina uploads a file
    Then workspace hays gets 404 for that file

  Scenario: No endpoint receives a key
    Given a fleet of 1 nodes and 1 endpoints
    When the openai client lists models, completes and streams at each node
    Then no run's headers contained a credential
    And no log of the fleet contains a key

Feature: A response that ends with its connection is cut by the kill of its endpoint

  # The kernel closes the connections of a killed process regularly.
  Scenario: A stream without a length is complete though its endpoint was killed
    Given 1 gateway and 1 endpoint process whose responses end with the connection
    When a caller requests "/once/1" and the endpoint is killed meanwhile
    Then the response is incomplete

  Scenario: A resumable stream without a length ends where its endpoint was killed
    Given 1 gateway and 2 endpoint processes whose responses end with the connection
    When a caller requests "/resume/1" and the endpoint is killed meanwhile
    Then the response is 200, signed and complete with 12 events

  Scenario: A body without a length is whole though its endpoint was killed
    Given 1 gateway and 1 endpoint process whose responses end with the connection
    When a caller requests "/safe/1" and the endpoint is killed meanwhile
    Then no response is complete

  Scenario: Items are listed with a part of their output after a kill of their endpoint
    Given 1 gateway and 2 endpoint processes whose responses end with the connection
    When a job of 4 items is submitted at gateway 0 and an endpoint is killed meanwhile
    Then within 20 seconds all items are completed at gateway 0
    And every result has the data of all events

  Scenario: A stream in chunks is complete though its endpoint was killed
    Given 1 gateway and 1 endpoint process whose responses are in chunks
    When a caller requests "/once/1" and the endpoint is killed meanwhile
    Then the response is incomplete

  # The endpoint stops its work there, and ends its response regularly.
  Scenario: A stream that its endpoint ends at the deadline is complete
    Given 1 gateway and 1 endpoint process whose responses are in chunks
    When a caller requests "/once/1" with a deadline of 0.3 seconds
    Then the response is incomplete

  Scenario: The last stream of an endpoint that stops is broken
    Given 1 gateway and 1 endpoint process whose responses end with the connection
    When a caller requests "/once/1" and the endpoint leaves and stops meanwhile
    Then the response is 200, signed and complete with 12 events

  Scenario: A resumable stream without a length ends where its leaving endpoint was killed
    Given 1 gateway and 2 endpoint processes whose responses end with the connection
    When a caller requests "/resume/1" and the endpoint is listed as draining and killed
    Then the response is 200, signed and complete with 12 events

  Scenario: A resumable stream without a length ends where its removed endpoint was killed
    Given 1 gateway and 2 endpoint processes whose responses end with the connection
    When a caller requests "/resume/1" and the endpoint is removed from the list and killed
    Then the response is 200, signed and complete with 12 events

  Scenario: A stream through a peer is complete though its endpoint was killed
    Given 2 gateways, one cut off, and 1 endpoint process whose responses end with the connection
    When a caller requests "/once/1" and the endpoint is killed meanwhile
    Then the response is incomplete

  Scenario: A stream through a peer whose endpoint runs on is complete
    Given 2 gateways, one cut off, and 1 endpoint process whose responses end with the connection
    When a caller requests "/once/1" from gateway 0
    Then the response is 200, signed and complete with 12 events

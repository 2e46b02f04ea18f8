Feature: A runner stops inside the head of its answer and closes the connection

  # http.client takes the end of the connection as that of the head.
  Scenario Outline: A <status> with <framing>, cut inside its head, is taken for a whole one <by>
    Given an endpoint that cuts heads of a <status> with <framing>
    When a call is made <by> for each number of bytes that the head can be cut to
    Then no call gets a response

    Examples:
      | status | framing      | by                             |
      | 200    | a length     | by a gateway                   |
      | 200    | the length 0 | by a gateway                   |
      | 200    | chunks       | by a gateway                   |
      | 200    | no length    | by a gateway                   |
      | 204    | no length    | by a gateway                   |
      | 503    | a promise    | by a gateway                   |
      | 200    | a length     | by a gateway, through its peer |
      | 200    | the length 0 | by a gateway, through its peer |
      | 503    | a promise    | by a gateway, through its peer |
      | 200    | a length     | by a node                      |
      | 200    | the length 0 | by a node                      |
      | 200    | chunks       | by a node                      |
      | 204    | no length    | by a node                      |

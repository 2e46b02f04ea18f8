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

  # http.client's parser ends the fields at a line that it can't read, and splits a line at
  # a carriage return.
  Scenario Outline: A body that is cut is whole by a head with the line <line>, <by>
    Given an endpoint that cuts a body with the line <line> in its head
    When a call is made <by> for the whole response
    Then no call gets a whole response

    Examples:
      | line                                | by                             |
      | garbage                             | by a gateway                   |
      | gar bage: x                         | by a gateway                   |
      | From x                              | by a gateway                   |
      | Content-Length : 16                 | by a gateway                   |
      | Transfer-Encoding : chunked         | by a gateway                   |
      | Content-Length: 8\r6                | by a gateway                   |
      | X: y\rContent-Length: 8             | by a gateway                   |
      | Content-Length: 8\r6                | by a gateway, through its peer |
      | Content-Length: 8\r6                | by a node                      |

  # http.client reads the status by int().
  Scenario Outline: A response with the status line <line> is read <by>
    Given an endpoint that sends the status line <line>
    When a call is made <by> for the whole response
    Then no call gets a whole response

    Examples:
      | line              | by           |
      | HTTP/1.1 2_00 O   | by a gateway |
      | HTTP/1.1 +200 O   | by a gateway |
      | HTTP/1.1 0200 O   | by a gateway |
      | HTTP/1.1 20       | by a gateway |
      | HTTP/1. 200 O     | by a gateway |
      | HTTP/1.1 +200 O   | by a node    |

  Scenario Outline: A node's answer to the command line, <framing>, is cut after each of its bytes
    Given a node that answers the command line, <framing>
    When the lines are read for each number of bytes that the answer can be cut to
    Then the command fails each time, and has all lines of the whole answer

    Examples:
      | framing       |
      | with a length |
      | in chunks     |

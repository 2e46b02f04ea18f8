Feature: Responses through a peer that end with their connection

  # http.client closes the connection once it has the head of such a response.
  Scenario Outline: <content> with <framing> is broken <by>
    Given an endpoint that answers with <content>, framed by <framing>
    When a call is made <by> for the whole response
    Then the call gets a whole response

    Examples:
      | content      | framing                       | by                             |
      | a whole body | no length                     | by a gateway, through its peer |
      | a stream     | no length                     | by a gateway, through its peer |
      | a whole body | Connection: close, a length   | by a gateway, through its peer |
      | a stream     | Connection: close, a length   | by a gateway, through its peer |
      | a whole body | Connection: close, chunks     | by a gateway, through its peer |
      | a stream     | Connection: close, chunks     | by a gateway, through its peer |
      | a whole body | a length                      | by a gateway, through its peer |
      | a stream     | chunks                        | by a gateway, through its peer |
      | a whole body | no length                     | by a gateway                   |
      | a stream     | no length                     | by a gateway                   |
      | a stream     | Connection: close, chunks     | by a gateway                   |

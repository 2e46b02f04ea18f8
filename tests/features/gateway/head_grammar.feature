Feature: A response with a line that the grammar of HTTP forbids is a broken one

  # The byte * is replaced by each byte from 0 to 255, of which the grammar permits some.
  Scenario Outline: The line "<line>" holds each byte in place of *, read by <reader>
    Given an endpoint that sends the line "<line>" in the head of a whole response
    When <reader> reads the response with each byte in place of *
    Then it takes the responses that the grammar permits, and no others

    Examples:
      | line             | reader                        |
      | *X-A: v          | a gateway                     |
      | X*A: v           | a gateway                     |
      | XA*: v           | a gateway                     |
      | X-A: *v          | a gateway                     |
      | X-A: v*w         | a gateway                     |
      | X-A: v*          | a gateway                     |
      | HTTP/1.1 200 O*K | a gateway                     |
      | HTTP/1.1 200 O*  | a gateway                     |
      | X*A: v           | a gateway, through a peer     |
      | X-A: v*w         | a gateway, through a peer     |
      | X-A: v*          | a gateway, through a peer     |
      | HTTP/1.1 200 O*  | a gateway, through a peer     |
      | *X-A: v          | a node                        |
      | X*A: v           | a node                        |
      | X-A: v*          | a node                        |
      | HTTP/1.1 200 O*  | a node                        |
      | X*A: v           | a gateway, from its store     |
      | X-A: v*          | a gateway, from its store     |
      | X*A: v           | a node, from its platform     |
      | X-A: v*          | a node, from its platform     |
      | X*A: v           | the command line              |
      | X-A: v*          | the command line              |
      | *X-A: v          | a caller of the emulator      |
      | X*A: v           | a caller of the emulator      |
      | X-A: v*          | a caller of the emulator      |
      | HTTP/1.1 200 O*  | a caller of the emulator      |
      | *X-A: v          | a strict caller               |
      | X*A: v           | a strict caller               |
      | X-A: v*          | a strict caller               |
      | HTTP/1.1 200 O*  | a strict caller               |

  Scenario Outline: The head has the line "<line>" <place>, read by <reader>
    Given an endpoint that sends the line "<line>" <place>
    When <reader> reads the response
    Then it takes no response

    Examples:
      | line                         | place                     | reader                    |
      | X                            | in front of its fields    | a gateway                 |
      | : v                          | in front of its fields    | a gateway                 |
      | \x20X-A: v                   | in front of its fields    | a gateway                 |
      | \x20                         | in front of its fields    | a gateway                 |
      | \t                           | in front of its fields    | a gateway                 |
      | \x20Content-Length: 9        | in front of its fields    | a gateway                 |
      | \x20Content-Length: 9        | in place of its framing   | a gateway                 |
      | \tTransfer-Encoding: chunked | in place of its framing   | a gateway                 |
      | \x20Content-Length: 9        | in front of its fields    | a gateway, through a peer |
      | \x20Content-Length: 9        | in front of its fields    | a node                    |
      | \x20                         | in front of its fields    | a gateway, from its store |
      | \x20                         | in front of its fields    | a node, from its platform |
      | \x20                         | in front of its fields    | the command line          |
      | \x20X-A: v                   | in front of its fields    | a caller of the emulator  |
      | \x20X-A: v                   | in front of its fields    | a strict caller           |
      | \x20X-A: v                   | behind its fields         | a gateway                 |
      | \x20                         | behind its fields         | a gateway                 |
      | \x20                         | behind its fields         | a node                    |
      | X-A: v\n                     | in place of its framing   | a gateway                 |
      | X-A: v\n                     | in place of its framing   | a gateway, through a peer |
      | X-A: v\n                     | in place of its framing   | a node                    |
      | X-A: v\n                     | behind its fields         | a gateway                 |
      | X-A: v\n                     | in front of its fields    | a gateway, from its store |
      | X-A: v\n                     | in front of its fields    | a node, from its platform |
      | X-A: v\n                     | in front of its fields    | the command line          |
      | X-A: v\n                     | in place of its framing   | a caller of the emulator  |
      | Content-Type: text/plain     | behind its fields         | a gateway                 |
      | Content-Type: text/plain     | behind its fields         | a node                    |

  Scenario Outline: A sound response with <form> is read by <reader>
    Given an endpoint that sends a sound response with <form>
    When <reader> reads the response
    Then it takes the response

    Examples:
      | form                      | reader                    |
      | an interim one before it  | a gateway                 |
      | blanks around values      | a gateway                 |
      | no reason phrase          | a gateway                 |
      | extensions and trailers   | a gateway                 |
      | an interim one before it  | a gateway, through a peer |
      | extensions and trailers   | a gateway, through a peer |
      | an interim one before it  | a node                    |
      | extensions and trailers   | a node                    |
      | blanks around values      | a gateway, from its store |
      | extensions and trailers   | a gateway, from its store |
      | blanks around values      | a node, from its platform |
      | extensions and trailers   | the command line          |

  # What a size is cut to, or garbled to, is in cut_chunks.feature.
  Scenario Outline: The line "<line>" of a body in chunks holds each byte in place of *, read by <reader>
    Given an endpoint that sends the line "<line>" in the chunks of a whole response
    When <reader> reads the response with each byte in place of *
    Then it takes the responses that the grammar permits, and no others

    Examples:
      | line    | reader                    |
      | X*A: v  | a gateway                 |
      | X-A: v* | a gateway                 |
      | 0;x*y   | a gateway                 |
      | 0;x="*" | a gateway                 |
      | X*A: v  | a gateway, through a peer |
      | 0;x*y   | a gateway, through a peer |
      | X-A: v* | a node                    |
      | 0;x*y   | a node                    |
      | 0;x="*" | the command line          |
      | X*A: v  | a caller of the emulator  |
      | X-A: v* | a caller of the emulator  |
      | 0;x="*" | a caller of the emulator  |
      | X*A: v  | a strict caller           |
      | 0;x*y   | a strict caller           |
      | 0;x="*" | a strict caller           |

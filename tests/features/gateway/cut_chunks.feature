Feature: A response in chunks that ends early is not taken for a whole one

  # urllib3 reads the line of a size up to the end of the connection, and "000" as zero.
  Scenario Outline: <content> in chunks with <sizes>, cut within its body, is taken for a whole one <by>
    Given an endpoint that cuts <content> in chunks with <sizes>
    When a call is made <by> for each number of bytes that the body can be cut to
    Then no call gets a whole response

    Examples:
      | content      | sizes                     | by                             |
      | a stream     | plain sizes               | by a gateway                   |
      | a stream     | sizes padded with zeros   | by a gateway                   |
      | a stream     | extensions                | by a gateway                   |
      | a stream     | trailers                  | by a gateway                   |
      | a whole body | plain sizes               | by a gateway                   |
      | a whole body | sizes padded with zeros   | by a gateway                   |
      | a stream     | sizes padded with zeros   | by a gateway, through its peer |
      | a whole body | sizes padded with zeros   | by a gateway, through its peer |
      | a stream     | sizes padded with zeros   | by a node                      |
      | a whole body | sizes padded with zeros   | by a node                      |
      | a whole body | trailers                  | by a node                      |

  Scenario Outline: A whole response in chunks with <sizes> is read <by>
    Given an endpoint that cuts a whole body in chunks with <sizes>
    When a call is made <by> for the whole response
    Then the call gets a whole response

    Examples:
      | sizes                   | by                             |
      | plain sizes             | by a gateway                   |
      | sizes padded with zeros | by a gateway                   |
      | extensions              | by a gateway                   |
      | trailers                | by a gateway                   |
      | sizes padded with zeros | by a gateway, through its peer |
      | extensions              | by a node                      |
      | trailers                | by a node                      |

  Scenario Outline: "<line>" in place of a chunk's size, then <rest>, is taken for the last chunk <by>
    Given an endpoint that sends "<line>" in place of a chunk's size, then <rest>
    When a call is made <by> for the whole response
    Then no call gets a whole response

    Examples:
      | line | rest              | by           |
      | 0;   | nothing           | by a gateway |
      | 0;   | an empty line     | by a gateway |
      | 0    | nothing           | by a gateway |
      | 0    | a line end        | by a gateway |
      | 0    | blanks            | by a gateway |
      | 0    | the chunk's bytes | by a gateway |
      | -0   | an empty line     | by a gateway |
      | +0   | an empty line     | by a gateway |
      | 0_0  | an empty line     | by a gateway |
      | 0x0  | an empty line     | by a gateway |
      | 0;   | an empty line     | by a node    |
      | 0    | a line end        | by a node    |
      | 0    | the chunk's bytes | by a node    |
      | -0   | an empty line     | by a node    |
      | 0_0  | an empty line     | by a node    |

  # http.client takes a length or a coding that it can't read for none.
  Scenario Outline: A body with "<field>" that is cut is taken for one without a length <by>
    Given an endpoint that cuts a whole body with "<field>" in its head
    When a call is made <by> for the whole response
    Then no call gets a whole response

    Examples:
      | field                      | by                             |
      | Content-Length: 126 bytes  | by a gateway                   |
      | Content-Length: -126       | by a gateway                   |
      | Content-Length:            | by a gateway                   |
      | Content-Length: 4_2        | by a gateway                   |
      | Content-Length: +42        | by a gateway                   |
      | Transfer-Encoding: chunk   | by a gateway                   |
      | Transfer-Encoding: deflate | by a gateway                   |
      | Content-Length : 126       | by a gateway                   |
      | no field\r\nContent-Length: 126 | by a gateway                   |
      | X-A: 1\r\n Content-Length: 126  | by a gateway                   |
      | Content-Length: 126\r\nContent-Length: 1260 | by a gateway                   |
      | Content-Length: 126\r\nContent-Length: abc  | by a gateway                   |
      | Transfer-Encoding : chunked | by a gateway                   |
      | Content-Length: 126 bytes  | by a gateway, through its peer |
      | Content-Length: +42        | by a node                      |

  Scenario: A chunk that is followed by other bytes than a line end is taken for a whole one
    Given an endpoint whose chunks are longer than their sizes
    When a call is made by a gateway for the whole response
    Then no call gets a whole response

  Scenario: A resumable stream that is cut in the size of a chunk goes on elsewhere
    Given 1 gateway and 2 runners of which 1 cuts streams within a size padded with zeros
    When a caller requests "/resume/1" from gateway 0 until each runner has run one
    Then each response has the events 1 to 6 in order

  Scenario: A stream that may not be repeated and is cut in the size of a chunk is incomplete
    Given 1 gateway and 2 runners of which 2 cut streams within a size padded with zeros
    When a caller requests "/once/1" from gateway 0
    Then the response is incomplete
    And the runners received one request in total

  Scenario: The items of streams that are cut in the size of a chunk are listed with all events
    Given 1 gateway and 1 runner whose new streams are cut within a size padded with zeros
    When a job of 4 items is submitted at gateway 0
    Then within 20 seconds all items are completed at gateway 0
    And every result has the data of events 1 to 6

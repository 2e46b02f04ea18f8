Feature: A request that is cut or framed ambiguously is not run

  Scenario Outline: A request with <body> is cut after each of its bytes
    Given 1 gateway and 1 runner
    When a request with <body> is sent once whole, and cut after each of its bytes
    Then the runner has run the whole request, and the gateway refused or closed the others

    Examples:
      | body                          |
      | a length                      |
      | chunks, plain sizes           |
      | chunks, sizes with zeros      |
      | chunks, extensions            |
      | chunks, trailers              |

  # A parser that takes no coding for none reads the body as the next request.
  Scenario: Requests with a transfer coding other than chunks are refused
    Given 1 gateway and 1 runner
    When requests with these fields are sent, and further requests as their bodies
      | fields                                                                |
      | Transfer-Encoding:                                                    |
      | Transfer-Encoding: ,                                                  |
      | Transfer-Encoding:; Content-Length: 5                                 |
      | Transfer-Encoding: ,; Content-Length: 5                               |
      | Transfer-Encoding: chunked, chunked                                   |
      | Transfer-Encoding: chunked; Transfer-Encoding: chunked                |
      | Transfer-Encoding:; Transfer-Encoding: chunked                        |
      | Transfer-Encoding: chunked,                                           |
      | Transfer-Encoding: gzip, chunked                                      |
      | Transfer-Encoding: chunked, gzip                                      |
      | Transfer-Encoding: identity                                           |
      | Transfer-Encoding: chunk                                              |
      | Transfer-Encoding: chunked; Content-Length: 5                         |
    Then each is refused as not run, and the runner has run nothing

  Scenario: Requests with a length that can't be read are refused
    Given 1 gateway and 1 runner
    When requests with these fields are sent, and further requests as their bodies
      | fields                              |
      | Content-Length:                     |
      | Content-Length: +5                  |
      | Content-Length: -5                  |
      | Content-Length: 5_0                 |
      | Content-Length: 0x5                 |
      | Content-Length: 5, 5                |
      | Content-Length: 5 5                 |
      | Content-Length: 5;                  |
      | Content-Length: 5.0                 |
      | Content-Length: 5; Content-Length: 5 |
      | Content-Length: 5; Content-Length: 6 |
    Then each is refused as not run, and the runner has run nothing

  # int() reads at most 4300 digits; the connection was closed without a response.
  Scenario: Requests with a length of very many digits are refused
    Given 1 gateway and 1 runner
    When a request with a length of 5000 digits is sent
    Then each is refused as not run, and the runner has run nothing

  # waitress reads a line with a line feed before its end as a size, and skips empty lines.
  Scenario: Requests whose chunks break the grammar are refused
    Given 1 gateway and 1 runner
    When requests with these chunks are sent, and further requests behind them
      | chunks                                        |
      | 5\n\r\nhello\r\n0\r\n\r\n                     |
      | 5;a\n\r\nhello\r\n0\r\n\r\n                   |
      | 5\r\nhello\r\n0\n\r\n\r\n                     |
      | \r\n5\r\nhello\r\n0\r\n\r\n                   |
      | 5\r\nhello\r\n\r\n0\r\n\r\n                   |
      | 5\r\nhello\r\n0\r\nGET / HTTP/1.1\r\n\r\n     |
      | 5\r\nhello\r\n0\r\nX: y\nZ: y\r\n\r\n         |
      | 5\r\nhello\r\n0;\r\n\r\n                      |
      | 5\r\nhello\r\n0 \r\n\r\n                      |
      | 5\r\nhello\r\n-0\r\n\r\n                      |
      | 5\r\nhello\r\n+0\r\n\r\n                      |
      | 5\r\nhello\r\n0_0\r\n\r\n                     |
      | 5\r\nhello\r\n0x0\r\n\r\n                     |
      | 5\r\nhello\r\n0\r\r\n\r\n                     |
      | 5\r\nhelloXX\r\n0\r\n\r\n                     |
      | 5\r\nhello\n0\r\n\r\n                         |
      | 5\r\nhello0\r\n\r\n                           |
      | +5\r\nhello\r\n0\r\n\r\n                      |
      | 0x5\r\nhello\r\n0\r\n\r\n                     |
      | 5 \r\nhello\r\n0\r\n\r\n                      |
    Then each is refused as not run, and the runner has run nothing

  # waitress took what follows such a head for more of it: one request with both heads.
  Scenario: A request that asks to continue but has no body is not merged with the next
    Given 1 gateway and 1 runner
    When a request that asks to continue without a body is sent, and then another one
    Then both requests get a response of their own

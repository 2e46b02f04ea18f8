Feature: Responses of endpoints without a length or chunks, which end with the connection

  Scenario Outline: A whole stream without a length is complete for a request to <prefix>
    Given 1 gateway and 1 runner that sends events without a length, <head>
    When a caller requests "<prefix>1" from gateway 0
    Then the response is 200, signed and complete with 6 events
    And the runners received one request in total

    Examples:
      | prefix   | head                             |
      | /resume/ | HTTP/1.1                         |
      | /resume/ | HTTP/1.0                         |
      | /resume/ | HTTP/1.1 with Connection: close  |
      | /once/   | HTTP/1.1                         |
      | /once/   | HTTP/1.0                         |
      | /once/   | HTTP/1.1 with Connection: close  |

  Scenario Outline: A whole body without a length is complete for a request to <prefix>
    Given 1 gateway and 1 runner that sends a body without a length, <head>
    When a caller requests "<prefix>1" from gateway 0
    Then the response is 200, signed and complete with the runner's whole body
    And the runners received one request in total

    Examples:
      | prefix | head                            |
      | /safe/ | HTTP/1.1                        |
      | /safe/ | HTTP/1.0                        |
      | /safe/ | HTTP/1.1 with Connection: close |
      | /once/ | HTTP/1.1                        |

  Scenario Outline: An empty body that ends regularly is a whole response to <prefix>
    Given 1 gateway and 1 runner whose body without a length is closed after the head
    When a caller requests "<prefix>1" from gateway 0
    Then the response is 200, signed, complete and empty

    Examples:
      | prefix |
      | /safe/ |
      | /once/ |

  Scenario Outline: A resumable stream that is <end> goes on elsewhere
    Given 1 gateway and 2 runners of which 1 has its events without a length <end>
    When a caller requests "/resume/1" from gateway 0 until each runner has run one
    Then each response has the events 1 to 6 in order

    Examples:
      | end                              |
      | closed before the head           |
      | closed inside a line of the head |
      | closed between lines of the head |
      | closed after the head            |
      | closed inside the first part     |
      | closed inside a later part       |
      | closed before the last byte      |
      | reset before the head            |
      | reset between lines of the head  |
      | reset after the head             |
      | reset inside the first part      |
      | reset between two parts          |
      | reset inside a later part        |
      | reset before the last byte       |
      | reset after the last byte        |

  Scenario Outline: A stream that may not be repeated and is <end> runs once and is <result>
    Given 1 gateway and 2 runners of which 2 have their events without a length <end>
    When a caller requests "/once/1" from gateway 0
    Then the response is <result>
    And the runners received one request in total

    Examples:
      | end                              | result     |
      | closed before the head           | a 502      |
      | closed inside a line of the head | a 502      |
      | closed between lines of the head | a 502      |
      | closed after the head            | a 502      |
      | closed inside the first part     | a 502      |
      | closed inside a later part       | incomplete |
      | closed before the last byte      | incomplete |
      | reset before the head            | a 502      |
      | reset after the head             | a 502      |
      | reset inside the first part      | a 502      |
      | reset between two parts          | incomplete |
      | reset inside a later part        | incomplete |
      | reset after the last byte        | incomplete |

  # Nothing on the wire tells such an end from the regular one.
  Scenario Outline: A stream that is closed after an event is complete for <prefix>
    Given 1 gateway and 1 runner that has its events without a length closed between two parts
    When a caller requests "<prefix>1" from gateway 0
    Then the response is 200, signed and complete with 2 events

    Examples:
      | prefix   |
      | /resume/ |
      | /once/   |

  Scenario Outline: A whole response to a request that may be repeated, <end>, is asked for again
    Given 1 gateway and 2 runners of which 1 has its body without a length <end>
    When a caller requests "/safe/1" from gateway 0 until each runner has run one
    Then each response has the events 1 to 6 in order

    Examples:
      | end                              |
      | closed before the head           |
      | closed inside a line of the head |
      | closed between lines of the head |
      | reset before the head            |
      | reset between lines of the head  |
      | reset after the head             |
      | reset inside the first part      |
      | reset after the last byte        |

  Scenario Outline: A whole response to a request that may not be repeated, <end>, is a 502
    Given 1 gateway and 2 runners of which 2 have their body without a length <end>
    When a caller requests "/once/1" from gateway 0
    Then the response is a 502
    And the runners received one request in total

    Examples:
      | end                              |
      | closed before the head           |
      | closed inside a line of the head |
      | closed between lines of the head |
      | reset before the head            |
      | reset between lines of the head  |
      | reset after the head             |
      | reset inside the first part      |
      | reset after the last byte        |

  Scenario Outline: Items whose stream is <end> run elsewhere
    Given 1 gateway and 2 runners of which 1 has its events without a length <end>
    When a job of 12 items is submitted at gateway 0
    Then within 20 seconds all items are completed at gateway 0
    And every result has the data of events 1 to 6

    Examples:
      | end                              |
      | closed before the head           |
      | closed inside a line of the head |
      | closed between lines of the head |
      | closed after the head            |
      | closed inside the first part     |
      | closed inside a later part       |
      | closed before the last byte      |
      | reset before the head            |
      | reset after the head             |
      | reset inside the first part      |
      | reset before the last byte       |
      | reset between two parts          |
      | reset inside a later part        |
      | reset after the last byte        |

  Scenario: Items whose streams without a length are whole run once
    Given 1 gateway and 1 runner that sends events without a length, HTTP/1.1
    When a job of 12 items is submitted at gateway 0
    Then within 20 seconds all items are completed at gateway 0
    And every result has the data of events 1 to 6
    And no item ran twice

  # A runner that crashes before its first event closes as one that has no more events.
  Scenario: A stream that is taken up by a response without a length and events is not complete
    Given 1 gateway and 2 runners, one closed inside a later part and one closed after the head
    When callers request "/resume/" 12 times
    Then no response is complete

  Scenario: An item that is taken up by a response without a length and events is not complete
    Given 1 gateway and 1 runner whose first stream is closed inside a later part, whose second one is closed after the head, and whose others are whole
    When a job of 1 items is submitted at gateway 0
    Then within 20 seconds all items are completed at gateway 0
    And every result has the data of events 1 to 6

  # The last event was passed on before the reset, so that nothing is left to send.
  Scenario: A stream that was reset after its last event is complete where that is known
    Given 1 gateway and 2 runners of which 1 has its events without a length reset after the last byte
    When a caller requests "/resume/1" from gateway 0 until each runner has run one
    Then each response has the events 1 to 6 in order
    And a run resumed after event 6

  Scenario Outline: A response with status <status>, which has no body, ends with its head
    Given 1 gateway and 1 runner that sends a head with status <status> and leaves the connection open
    When a caller requests "<prefix>1" from gateway 0
    Then the response has status <status>, is complete and empty and came within 1 second

    Examples:
      | status | prefix |
      | 204    | /safe/ |
      | 204    | /once/ |
      | 304    | /safe/ |
      | 304    | /once/ |

  Scenario: A response to a HEAD request ends with its head
    Given 1 gateway and 1 runner that sends a head with status 200 and leaves the connection open
    When a caller sends a HEAD request for "/safe/1"
    Then the response has status 200, is complete and empty and came within 1 second

  # A response to HTTP/1.0 has no chunks: its end is that of the connection, too.
  Scenario Outline: A caller with HTTP/1.0 sees whether a stream that is <end> is complete
    Given 1 gateway and 1 runner that has its events without a length <end>
    When a caller with HTTP/1.0 requests "/once/1"
    Then the response has <count> events and its connection is <result>

    Examples:
      | end                        | count | result |
      | closed after the last byte | 6     | closed |
      | closed inside a later part | 2     | reset  |
      | reset after the last byte  | 6     | reset  |

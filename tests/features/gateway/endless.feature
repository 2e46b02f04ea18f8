Feature: Responses of endpoints that never end

  Scenario Outline: Streams go on elsewhere when an endpoint sends <place> without end
    Given 1 gateway and 2 runners of which 1 sends <place> without end
    When 32 callers request "/resume/" at once
    Then all callers get the events 1 to 6
    And each endless response was closed within 16 MB and 4 seconds, and logged
    And the gateway's resident memory grew by less than 20 MB
    And no request is in flight

    Examples:
      | place                |
      | status line          |
      | header line          |
      | headers              |
      | interim responses    |
      | chunk size           |
      | chunk extension      |
      | large chunk          |
      | first event          |
      | later event          |
      | comments             |
      | events without an id |
      | repeated events      |
      | trailers             |
      | body                 |
      | chunked body         |

  Scenario Outline: Streams go on elsewhere when an endpoint drips <place> without end
    Given 1 gateway and 2 runners of which 1 drips <place> without end
    When 32 callers request "/resume/" at once
    Then all callers get the events 1 to 6
    And each endless response was closed within 16 MB and 4 seconds, and logged
    And no request is in flight

    Examples:
      | place             |
      | status line       |
      | interim responses |
      | chunk extension   |
      | first event       |
      | later event       |
      | comments          |

  Scenario Outline: A request that may not be repeated fails once on <place> without end
    Given 1 gateway and 1 runner that sends <place> without end
    When 16 callers request "/once/" at once
    Then all callers get an error that states how the request ended
    And no request ran twice
    And each endless response was closed within 16 MB and 4 seconds, and logged
    And the gateway's resident memory grew by less than 20 MB
    And no request is in flight

    Examples:
      | place             |
      | status line       |
      | interim responses |
      | first event       |
      | later event       |
      | body              |

  Scenario Outline: A request that may not be repeated ends on <place> at its deadline
    Given 1 gateway and 1 runner that sends <place> without end
    When 16 callers request "/once/" at once
    Then all callers get an error that states how the request ended
    And no request ran twice
    And each endless response was closed within 64 MB and 4 seconds
    And the gateway's resident memory grew by less than 20 MB
    And no request is in flight

    Examples:
      | place           |
      | numbered events |
      | chunked body    |

  Scenario: Bytes after the end of a complete stream are ignored
    Given 1 gateway and 1 runner that sends after the end without end
    When 16 callers request "/once/" at once
    Then all callers get the events 1 to 6
    And each endless response was closed within 16 MB and 4 seconds
    And no request is in flight

  Scenario Outline: Items run elsewhere when an endpoint <sends> <place> without end
    Given 1 gateway and 2 runners of which 1 <sends> <place> without end
    When a job of 12 items is submitted at gateway 0
    Then within 20 seconds all items are completed at gateway 0
    And every result has the data of events 1 to 6
    And each endless response was closed within 16 MB and 6 seconds, and logged
    And the gateway's resident memory grew by less than 20 MB
    And no request is in flight

    Examples:
      | sends | place             |
      | sends | interim responses |
      | sends | first event       |
      | sends | comments          |
      | sends | numbered events   |
      | sends | body              |
      | drips | status line       |
      | drips | later event       |
      | drips | body              |

  Scenario: A response is closed at its deadline while the thread that polls calls is late
    Given 1 runner that sends numbered events without end
    When a call that no other thread aborts has a deadline of 0.5 seconds
    Then the call ends as aborted
    And the runner's record says that it was closed within 1.5 second

  Scenario: An emulated runner that drips records when its caller closes the connection
    Given 1 runner that sends a byte of a body each 2 seconds without end
    When a caller closes the connection after the head
    Then the runner's record says that it was closed within 1 second

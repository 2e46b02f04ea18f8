Feature: Lines of event streams end with CR, LF or CRLF and with nothing else

  # Each of these characters ended the line, and what followed it was lost.
  Scenario Outline: Outputs of items lack what follows a <character> in an event
    Given 1 gateway and 1 runner whose events have a <character>
    When a job of 4 items is submitted at gateway 0
    Then within 20 seconds all items are completed at gateway 0
    And every result has the whole data of events 1 to 6

    Examples:
      | character                 |
      | line separator            |
      | paragraph separator       |
      | next line                 |
      | vertical tab              |
      | form feed                 |
      | file separator            |
      | group separator           |
      | record separator          |

  # What followed the character was read as the next event's id.
  Scenario: A resumed stream misses events whose data has an id after a line separator
    Given 1 gateway and 2 runners whose events have an id after a line separator
    When a caller requests "/resume/1" from gateway 0
    Then the response is 200, signed and complete with 6 events

  # The end of an event was found only between two LF or two CRLF.
  Scenario Outline: An event stream whose lines end with <end> has no events
    Given 1 gateway and 1 runner whose lines end with <end>
    When a caller requests "/resume/1" from gateway 0
    Then the response is 200, signed and complete with 6 events
    When a job of 4 items is submitted at gateway 0
    Then within 20 seconds all items are completed at gateway 0
    And every result has the whole data of events 1 to 6

    Examples:
      | end  |
      | LF   |
      | CR   |
      | CRLF |

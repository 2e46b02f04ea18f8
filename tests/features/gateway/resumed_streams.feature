Feature: A stream has begun and broken off, and the next runner answers with an error

  # The caller must see that the stream is incomplete, and nothing but its events.
  Scenario Outline: A broken stream is continued by <answer>
    Given 1 gateway and 2 runners that break streams and resume them with <answer>
    When a caller requests the stream "/resume/1" and keeps all bytes
    Then it gets the first 2 events, byte by byte, and sees that more are missing

    Examples:
      | answer                                   |
      | a 500 with a text                        |
      | a 500 with an event stream               |
      | a 503 without a promise                  |
      | a 404 with a text                        |
      | a 422 with a text                        |
      | a 200 with a JSON body                   |
      | a 200 without a signature                |
      | an event stream of one error event       |
      | an error event and an end without length |
      | an error event before the next events    |
      | the head of an error in the event stream |
      | an unfinished event                      |
      | the first event again and an end         |
      | a text that is no head                   |
      | half of a head                           |
      | an answer to another request             |
      | a blank in a field's name                |
      | a bracket in a field's name              |
      | a control byte in a field's value        |
      | a line feed in a field's value           |

  # Nothing but comments before the next event: the stream goes on.
  Scenario: A broken stream is continued after a comment
    Given 1 gateway and 2 runners that break streams and resume them with a comment and the next events
    When a caller requests the stream "/resume/1" and keeps all bytes
    Then it gets all 6 events, with the comment, and sees the end

  Scenario Outline: An item whose stream is continued by <answer> is not listed with it
    Given 1 gateway and 2 runners that break streams and resume them with <answer>
    When a job of 2 items is submitted at gateway 0
    Then for 4 seconds no item is listed as completed

    Examples:
      | answer                                   |
      | a 500 with an event stream               |
      | a 200 with a JSON body                   |
      | an event stream of one error event       |
      | an error event and an end without length |
      | the head of an error in the event stream |
      | the first event again and an end         |
      | half of a head                           |
      | a bracket in a field's name              |
      | a control byte in a field's value        |

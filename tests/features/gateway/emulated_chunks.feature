Feature: Responses in chunks, as the emulator's runners write and its callers read them

  # int() reads the beginnings of padded sizes as zero, and so did all callers.
  Scenario Outline: A caller sees that a body with sizes <spelling> is cut after any byte
    Then a body with sizes "<spelling>" is whole, and none of its beginnings is

    Examples:
      | spelling   |
      | plain      |
      | 4 digits   |
      | 8 digits   |
      | upper case |
      | extension  |

  Scenario Outline: Bytes that are no framing of chunks are not whole
    Then the bytes "<bytes>" are no whole body

    Examples:
      | bytes                          |
      | 0;\r\n\r\n                     |
      | 0 \r\n\r\n                     |
      | -0\r\n\r\n                     |
      | 0_0\r\n\r\n                    |
      | 0x0\r\n\r\n                    |
      | +0\r\n\r\n                     |
      | \r\n\r\n                       |
      | 0\n\n                          |
      | 0\r\nno trailer\r\n\r\n        |
      | 2\r\nabcd0\r\n\r\n             |
      | 2\r\nab\r\n0\r\n\r\nmore       |

  Scenario Outline: A runner with sizes <spelling> sends whole responses
    Given an emulated runner with sizes "<spelling>"
    Then the response to "/resume/1" is complete with 6 events
    And the response to "/safe/1" is complete with 6 events

    Examples:
      | spelling   |
      | plain      |
      | 4 digits   |
      | 8 digits   |
      | upper case |
      | extension  |

  Scenario Outline: A runner with sizes <spelling> cuts responses where its plan has it
    Given an emulated runner with sizes "<spelling>"
    When it cuts responses to "/resume/1" and "/safe/1" at each place, by each end
    Then none of the runner's responses is complete
    And the runner recorded which of them have all events

    Examples:
      | spelling   |
      | plain      |
      | 4 digits   |
      | 8 digits   |
      | upper case |
      | extension  |

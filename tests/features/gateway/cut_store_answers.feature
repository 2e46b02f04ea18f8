Feature: An answer of the store that is cut counts as lost

  Scenario Outline: <answer> of the store to a gateway's <call>, <framing>, is cut after each of its bytes
    Given a store that answers <answer>, <framing>
    When a gateway makes a <call> for each number of bytes that the answer can be cut to
    Then the outcome of each call is unknown, and that of the whole answer is <outcome>

    Examples:
      | answer | call    | framing                   | outcome     |
      | 200    | get     | with a length             | a value     |
      | 200    | get     | in chunks, padded sizes   | a value     |
      | 404    | get     | with a length             | NOT_FOUND   |
      | 404    | get     | in chunks, padded sizes   | NOT_FOUND   |
      | 404    | get     | without a body            | NOT_FOUND   |
      | 200    | replace | in chunks, padded sizes   | a value     |
      | 409    | replace | with a length             | CONFLICT    |
      | 409    | replace | in chunks, padded sizes   | CONFLICT    |
      | 201    | create  | in chunks, padded sizes   | a value     |
      | 503    | create  | with a length             | UNAVAILABLE |
      | 202    | status  | in chunks, padded sizes   | a value     |
      | 410    | watch   | without a body            | EXPIRED     |
      | 200    | list    | in chunks, padded sizes   | a value     |

  Scenario Outline: <answer> of the platform to a node's <call>, <framing>, is cut after each of its bytes
    Given a platform that answers <answer>, <framing>
    When a node makes a <call> for each number of bytes that the answer can be cut to
    Then the outcome of each call is unknown, and that of the whole answer is <outcome>

    Examples:
      | answer | call    | framing                   | outcome     |
      | 200    | get     | with a length             | a value     |
      | 200    | get     | in chunks, padded sizes   | a value     |
      | 404    | get     | with a length             | NOT_FOUND   |
      | 200    | create  | without a body            | a value     |
      | 412    | create  | with a length             | CONFLICT    |
      | 412    | delete  | without a body            | CONFLICT    |
      | 200    | delete  | without a body            | a value     |

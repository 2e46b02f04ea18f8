Feature: Responses that end early, of endpoints that are processes of their own

  # Guards against streams that end as complete before their last event, and against
  # whole bodies and items that are shortened: endpoints cut responses and are killed,
  # gateways are killed, stopped and suspended, and responses come through peers.
  Scenario: Plays of a seed find no response that ends early as complete
    When the soak of the ends of responses runs 0.4 minutes from seed 47
    Then it has played endpoints that end and gateways that end under peers' responses

  Scenario: Plays of a seed find no head that the grammar forbids
    When the soak of heads that the grammar forbids runs 0.4 minutes from seed 50
    Then it has played endpoints that end and gateways that end under peers' responses

  # A caller that reads a cut response as whole could not show the fault.
  Scenario Outline: The strict caller finds each cut of a response with <framing>
    Given a server that sends a stream with <framing>
    When the strict caller asks for each number of bytes that the body can be cut to
    Then only the whole response is complete

    Examples:
      | framing           |
      | plain sizes       |
      | upper-case sizes  |
      | padded sizes      |
      | extended sizes    |
      | a length          |

  # Checks that pass everything would not be noticed otherwise.
  Scenario Outline: The checks name <flaw>
    Given an answer that has <flaw>
    Then the checks find "<found>", of the kind "<kind>"

    Examples:
      | flaw                                  | found                                         | kind   |
      | all events of one run                 | None                                          | None   |
      | a run that went on                    | None                                          | None   |
      | a stream that breaks off              | None                                          | None   |
      | a stream that ends early              | ends as complete after event 2 of 3           | broken |
      | an event twice                        | event 1 in place of 2                         | broken |
      | an event missing                      | event 3 in place of 2                         | broken |
      | joined pieces of two runs             | event 2 is of a run that began after event 0  | broken |
      | a part of an event                    | ends as complete with b'id: 3'                | broken |
      | a whole body that is shortened        | 9 of 483 bytes                                | broken |
      | an item that is shortened             | ends as complete after event 2 of 3           | broken |
      | an early end of a killed process      | ends as complete after event 2 of 3           | end of a process, without framing |
      | an early end by its own word          | ends as complete after event 2 of 3           | own end without framing |
      | a run that ended at once              | ends as complete after event 2 of 3           | own end of a run that ended at once |
      | a run that ended at once, not resumed | ends as complete after event 2 of 3           | broken |
      | the flawed head of an endpoint        | the head of an endpoint that is flawed        | broken |
      | a head with an invalid line           | InvalidHeadError: the line                    | broken |

Feature: Responses without a length or chunks, of processes that end while they send

  # The kernel closes the connections of a process that is killed or exits, and with
  # them its listener. Guards against streams, whole bodies and items that end as
  # complete there: callers saw streams that ended before their last event.
  Scenario Outline: No <kind> of a process that is <ending> ends as complete, <way>
    When <kind> without a length or chunks are cut by processes that are <ending>, <way>
    Then processes have ended, and none of these ends as complete

    Examples:
      | kind    | ending     | way           |
      | answers | killed     | sent directly |
      | answers | terminated | sent directly |
      | answers | killed     | through peers |
      | items   | killed     | sent directly |

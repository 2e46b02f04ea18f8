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

  # The connection that checks whether an endpoint is still there was reset while it was
  # opened, in 14 of 1000 kills, and the endpoint counted as there: a whole body that was
  # cut ended as complete.
  Scenario Outline: An endpoint whose connections are <looks> <accepts> connections
    Given an endpoint whose connections are <looks> as they are opened
    When a gateway checks whether the endpoint accepts connections
    Then the endpoint <accepts> connections

    Examples:
      | looks              | accepts         |
      | refused            | doesn't accept  |
      | reset, refused     | doesn't accept  |
      | reset, kept        | accepts         |
      | kept               | accepts         |

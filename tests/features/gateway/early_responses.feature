Feature: The only endpoint responds early and resets the connection, or sends an invalid status

  # Only the reset tells that such a response, which has no length, is partial.
  Scenario Outline: Part of <content> for <prefix>, reset during an upload <by>, looks complete
    Given an endpoint that sends part of <content> without a length, reached <by>
    When uploads of <size> MB to "<prefix>" are reset at the beginning, in the middle and at the end
    Then each upload reached the endpoint, and no response is complete

    # The kernel may take 3 MB at once; a write of 12 MB waits. Peers relay up to 4 MiB.
    Examples:
      | content | prefix   | by             | size |
      | a body  | /safe/   | directly       | 3    |
      | a body  | /once/   | directly       | 3    |
      | a body  | /resume/ | directly       | 3    |
      | events  | /safe/   | directly       | 3    |
      | events  | /once/   | directly       | 3    |
      | events  | /resume/ | directly       | 3    |
      | a body  | /safe/   | directly       | 12   |
      | a body  | /once/   | directly       | 12   |
      | events  | /once/   | directly       | 12   |
      | events  | /resume/ | directly       | 12   |
      | a body  | /safe/   | through a peer | 3    |
      | a body  | /once/   | through a peer | 3    |
      | events  | /safe/   | through a peer | 3    |
      | events  | /once/   | through a peer | 3    |
      | events  | /resume/ | through a peer | 3    |
      | a body  | /once/   | through a peer | 4    |
      | events  | /once/   | through a peer | 4    |
      | events  | /resume/ | through a peer | 4    |

  Scenario Outline: Part of events for an item, reset at the <place> of its upload <by>, is a result
    Given an endpoint that sends part of events without a length, reached <by>
    When an item of 3 MB is reset at the <place> of its upload
    Then the item reached the endpoint, and is not listed as completed

    Examples:
      | place     | by             |
      | beginning | directly       |
      | middle    | directly       |
      | end       | directly       |
      | middle    | through a peer |
      | end       | through a peer |

  # urllib3's pools read on after a failed write, which has consumed the reset.
  Scenario Outline: A call of a node takes part of <content>, reset during its upload, for a whole one
    Given a single endpoint that sends part of <content> without a length
    When a node makes calls of <size> MB that are reset at the beginning, in the middle and at the end
    Then no call has a complete response

    Examples:
      | content | size |
      | a body  | 3    |
      | events  | 3    |
      | a body  | 12   |
      | events  | 12   |

  Scenario Outline: Invalid statuses with <content> for <prefix> reach a caller <by>
    Given an endpoint that sends <content> with invalid statuses, reached <by>
    When a caller requests "<prefix>" for each of the invalid statuses
    Then each request reached the endpoint, and each response is a 502 of the gateway

    Examples:
      | content             | prefix   | by             |
      | a body              | /safe/   | directly       |
      | a body              | /once/   | directly       |
      | a body              | /resume/ | directly       |
      | events              | /resume/ | directly       |
      | no body             | /once/   | directly       |
      | a body, marked so   | /once/   | directly       |
      | a body              | /safe/   | through a peer |
      | a body              | /once/   | through a peer |
      | events              | /resume/ | through a peer |

  Scenario Outline: An item is completed by a response with status <status>
    Given an endpoint that sends events with status <status>, reached directly
    When a job of one item is submitted
    Then the item reached the endpoint, and is not listed as completed

    Examples:
      | status |
      | 000    |
      | 1000   |
      | 999    |

  Scenario: A node takes a response with an invalid status for one to pass on
    Given a single endpoint that sends a body with invalid statuses
    When a node makes a call for each of the invalid statuses
    Then no call has a complete response

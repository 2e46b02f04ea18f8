Feature: The only endpoint sends a head with a field that the grammar of HTTP forbids

  Scenario Outline: Invalid fields of <content>, framed by <framing>, for <prefix> reach a caller <by>
    Given an endpoint that sends <content> framed by <framing>, reached <by>
    When a caller requests "<prefix>" for each of the invalid fields
    Then each request reached the endpoint, and each response is a 502 of the gateway

    Examples:
      | content             | framing   | prefix   | by             |
      | a body              | a length  | /safe/   | directly       |
      | a body              | chunks    | /once/   | directly       |
      | a body              | its close | /safe/   | directly       |
      | a body, marked so   | a length  | /once/   | directly       |
      | events              | chunks    | /resume/ | directly       |
      | events              | its close | /once/   | directly       |
      | a body              | its close | /once/   | through a peer |
      | a body, marked so   | a length  | /safe/   | through a peer |
      | events              | chunks    | /resume/ | through a peer |

  # Callers that read the first one and callers that read the last one would differ.
  Scenario Outline: Repeated fields of <content>, framed by <framing>, for <prefix> reach a caller <by>
    Given an endpoint that sends <content> framed by <framing>, reached <by>
    When a caller requests "<prefix>" for each of the repeated fields
    Then each request reached the endpoint, and each response is a 502 of the gateway

    Examples:
      | content | framing   | prefix   | by             |
      | a body  | a length  | /safe/   | directly       |
      | a body  | chunks    | /once/   | directly       |
      | events  | chunks    | /resume/ | directly       |
      | events  | its close | /once/   | through a peer |

  Scenario Outline: Fields of <content>, framed by <framing>, that the grammar permits reach a caller <by>
    Given an endpoint that sends <content> framed by <framing>, reached <by>
    When a caller requests "/once/" for each of the odd but valid fields
    Then each response is whole, and has the endpoint's field

    Examples:
      | content | framing   | by             |
      | a body  | a length  | directly       |
      | events  | chunks    | directly       |
      | a body  | its close | through a peer |

  Scenario Outline: An item is completed by a response with <field> among its fields
    Given an endpoint that sends events framed by chunks, reached <by>
    When a job of one item is submitted that is answered with <field> among the fields
    Then the item reached the endpoint, and is not listed as completed

    Examples:
      | field                            | by             |
      | a blank in a name                | directly       |
      | a bracket in a name              | directly       |
      | a control byte in a value        | directly       |
      | a second signature               | directly       |
      | a line feed at the end           | directly       |
      | a bracket in a name              | through a peer |

  # The peer that forwards reads what the endpoint says of itself.
  Scenario: A peer forwards a response, and an invalid field stands beside that it leaves
    Given an endpoint that sends a body framed by a length, reached through a peer
    When it says that it leaves, beside each of the invalid fields
    Then no gateway has noted that it leaves
    When it says that it leaves, beside a valid field
    Then the gateway that forwards has noted that it leaves

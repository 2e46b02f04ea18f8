Feature: A request asks one other node at most for permits of cold endpoints

  # Requests asked the granters of all cold endpoints, one after another.
  Scenario Outline: A peak of requests at a node, <cold> cold endpoints, <warm> warm
    Given a fleet of 3 nodes with <cold> cold endpoints and <warm> warm ones
    And the permits of the other nodes are used up
    When 100 requests arrive at one node at the same time
    Then none of them asks more than one other node for a permit
    And the permits of that node itself were used up
    And <warm> warm endpoints were filled, and the other requests refused

    Examples:
      | cold | warm |
      | 6    | 0    |
      | 6    | 1    |

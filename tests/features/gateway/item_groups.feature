Feature: What a node keeps of groups of items

  # The times to try again of all services and homes that ever had jobs were kept.
  Scenario: Groups of items that found no slot are gone
    Given an item runner whose items get no slot
    When jobs of 20 groups wait, one after another
    Then it keeps when to try again for the last group, and for none when all are gone

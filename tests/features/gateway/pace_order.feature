Feature: What the pace of endpoints counts, and what it goes before

  # An online request stopped a batch item beside a free slot of a new endpoint.
  Scenario Outline: A <limit> limit and a batch item at a full endpoint, by a <placing>
    Given an endpoint that is full with a batch item, and one at its <limit> limit of 2
    When an online request is placed by a <placing>
    Then <outcome>

    Examples:
      | limit | placing   | outcome                            |
      | soft  | node      | it gets a free slot                |
      | soft  | scheduler | it gets a free slot                |
      | firm  | node      | it takes the place of a batch item |
      | firm  | scheduler | it takes the place of a batch item |

  # Endpoints that had left kept most of a service from counting as started.
  Scenario: Most of the endpoints that are still listed have just started
    Given a node with pacing that has listed 5 endpoints
    When 4 of them are removed, and 2 others are listed
    Then no endpoint is limited

  # Endpoints that had left kept a late service from counting as late.
  Scenario: Most of the endpoints that are still listed are late
    Given a node with pacing that has listed 5 endpoints
    When 3 of them are removed, and one of the others fails
    And both others answer late
    Then the limit has fallen no further

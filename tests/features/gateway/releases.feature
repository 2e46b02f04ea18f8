Feature: Gateways of two releases serve side by side

  Scenario: Requests and jobs pass between the releases
    Given 2 gateways of the release in production and 2 of this one, and 2 runners
    When a job of 4 items is accepted at each gateway
    Then each gateway serves requests, and tells all results of all jobs
    And a job that one gateway accepted is ended at the next one

  Scenario Outline: The limit of waiting tokens holds between the releases in a fleet of <old> and <new>
    Given <old> gateways of the release in production and <new> of this one, and 1 runner with long items
    When jobs of one workspace arrive at all gateways in turn until each has refused one
    Then their tokens are at most a tenth above the limit

    Examples:
      | old | new |
      | 2   | 2   |
      | 8   | 7   |

  Scenario Outline: A fleet of 15 gateways is replaced by a newer release
    Given 15 gateways of the release in production and 0 of this one, and 3 runners
    When they are replaced five at a time <detour>, while callers send requests and jobs
    Then each request was served, at the second attempt at the latest
    And all items of the accepted jobs have one result
    And three gateways follow the store and all others rely on them

    Examples:
      | detour                      |
      | in order                    |
      | with a step back after five |

Feature: Endpoints that announce their shutdown get no new requests

  Scenario: An announcement stands while the store is away, and after its return
    Given 1 gateway and 2 runners
    When the store goes down
    And runner 0 leaves and has answered a request
    Then 8 requests are answered and none reaches runner 0
    When the store returns and lists runner 0 as ready
    Then 8 requests are answered and none reaches runner 0
    And the leave of "runner-0" was logged once, with the request that saw it
    And the metrics count 1 leave

  Scenario: A whole service that leaves answers for a second, then requests are refused
    Given 1 gateway and 2 runners
    When runner 0 leaves and has answered a request
    And runner 1 leaves and has answered a request
    Then a request is answered, but no item runs
    When 1 second has passed
    Then 4 requests are refused within 0.2 seconds, with a Retry-After of at most 1 second
    When a new runner registers
    Then after 1 second 4 requests are answered and none reaches runner 0

  Scenario: Another runner gets requests at the address of one that left
    Given 1 gateway and 2 runners
    When runner 0 leaves and has answered a request
    Then 8 requests are answered and none reaches runner 0
    When another runner starts at the address of runner 0
    Then after 1 second 24 requests are answered and some reach runner 0

  Scenario: A runner that starts again under its id gets requests
    Given 1 gateway and 2 runners
    When runner 0 leaves and has answered a request
    Then 8 requests are answered and none reaches runner 0
    When runner 0 starts again under its id
    Then after 1 second 24 requests are answered and some reach runner 0

  Scenario Outline: A leave is seen in a rejection with <status>
    Given 1 gateway and 2 runners
    When runner 0 leaves and rejects each request with <status>
    Then 20 requests in 2 seconds are answered and only 1 reaches runner 0

    Examples:
      | status |
      | 503    |
      | 421    |
      | 500    |

  Scenario: A leave is seen in the head of a stream while others follow
    Given 1 gateway and 2 slow runners
    When runner 0 leaves and has begun a stream
    Then 6 requests during the stream are answered and none reaches runner 0
    And the stream is complete

  Scenario: A leave is seen in the response to an item
    Given 1 gateway and 2 slow runners
    When runner 0 leaves
    And a job of 24 items is submitted at gateway 0
    Then within 20 seconds all items are completed at gateway 0
    And no item reached runner 0 after its first response
    And 4 requests are answered and none reaches runner 0

  Scenario: A leave that the scheduler of a large fleet has not seen
    Given 14 gateways and 4 runners
    When all gateways know each other
    And runner 0 leaves and has answered a request
    Then 20 requests are answered and none reaches runner 0

  Scenario: No entry of the list withdraws an announcement
    Then for any changes of the list an endpoint that announced its shutdown is not usable

  Scenario: The memory of announcements is bounded
    When 5000 endpoints announce their shutdown and are removed, 0.1 seconds apart
    Then at most 1000 of them are kept, and those removed last for 600 seconds
    And an endpoint that stays listed is kept longer

Feature: A runner writes the refusal of an earlier request once more

  # The refusal was taken for that of the request, which ran.
  Scenario: A request that a runner runs is refused as not run
    Given 1 gateway and 2 runners that write an earlier refusal before each response
    When 12 callers send requests that may not be repeated
    Then those that ran did so once, and were not refused

  Scenario: A request that may be repeated is refused though a sound runner serves
    Given 1 gateway and 2 runners of which 1 writes an earlier refusal before each response
    When a caller requests "/safe/1" from gateway 0 until each runner has run one
    Then each response has the events 1 to 6 in order

  Scenario: An item runs at a sound runner
    Given 1 gateway and 2 runners of which 1 writes an earlier refusal before each response
    When a job of 12 items is submitted at gateway 0
    Then within 20 seconds all items are completed at gateway 0
    And every result has the data of events 1 to 6

  Scenario: A request that goes through a peer is refused as not run
    Given 2 gateways, of which 0 is cut off from the 2 runners, which write an earlier refusal before each response
    When 12 callers send requests that may not be repeated
    Then those that ran did so once, and were not refused

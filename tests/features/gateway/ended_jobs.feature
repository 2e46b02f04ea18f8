Feature: No item of a job is sent long after the end of the job was acknowledged

  Scenario: A job is ended while another gateway adopts it
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" is cut off, and the end of the job becomes known while "b" adopts it
    Then no gateway but "a" starts an item of the job

  Scenario: A job is ended before the gateway that stores it gets the store's answer
    Given gateways "a, b", and "a" holds a job with 1 listed result
    When "a" stores another job, whose end becomes known before the store's answer
    Then no gateway starts an item of that job

  Scenario: The holder of an ended job is told though gossip does not name it yet
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" stores another job, and it is ended at "b" before any gossip
    Then no gateway starts an item of that job

  Scenario: Every holder of an ended job is told
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" is cut off until "b" holds the job as well, and it is ended at "c"
    Then no gateway starts an item of the job

  Scenario: A job is ended while one of its items is being placed
    Given an item runner whose job is ended during the first placement
    When a job of 3 items is held
    Then no item is sent within 1 second

  Scenario: A job that was released is ended while one of its items is being placed
    Given an item runner whose job is released and ended during the first placement
    When a job of 3 items is held
    Then no item is sent within 1 second

  Scenario: The store's response that tells of the end is lost
    Given 1 gateway and 1 runner with few slots
    When a job of 60 items is accepted at gateway 0, which watches the store
    And the store loses the responses to watches of "batch-ends"
    And the end of the job is written by a gateway that is lost at once
    Then no item of it is sent later than 3 seconds after the end

  # A holder was lost right after its job's end, which the next one had not heard of.
  Scenario: A gateway whose watch is lost takes over a job that has ended
    Given 2 gateways and 1 runner with few slots
    When a job of 60 items is accepted at gateway 0, which watches the store
    And the store loses the responses to watches of "batch-ends"
    And the end of the job is written by a gateway that is lost at once
    And gateway 0 is killed, and gateway 1 takes the job over
    Then no item of it is sent later than 3 seconds after the end

  Scenario: Outdated reads of the store show the end only later
    Given 1 gateway and 1 runner with few slots
    And outdated reads of the store show what it held 8 seconds before
    When a job of 60 items is accepted at gateway 0, which watches the store
    And the end of the job is written by a gateway that is lost at once
    Then no item of it is sent later than 3 seconds after the end

  # A watch from an outdated list expired at once, and the list was read again at once.
  Scenario: Outdated reads of the store lag behind the history that it dropped
    Given 1 gateway and 1 runner with few slots
    And outdated reads of the store show what it held 5 seconds before
    When a job of 60 items is accepted at gateway 0, which watches the store
    And the end of the job is written by a gateway that is lost at once
    And the store discards its history
    Then the store gets at most 12 calls for "batch-ends" in 4 seconds
    And the end of the job is logged once

  # Each answer of the store that named the end again was logged.
  Scenario: The end of a job is logged once, however often it is heard of
    Given 1 gateway and 1 runner with few slots
    When a job of 60 items is accepted at gateway 0, which watches the store
    And a caller ends the job 3 times
    Then the end of the job is logged once

  Scenario: Items of a held job go on during an outage of the store
    Given 1 gateway and 1 runner with few slots
    When a job of 60 items is accepted at gateway 0, which watches the store
    And the store is down
    Then items of it are still sent 4 seconds later

  Scenario: Items of a held job go on while its peer does not reach the store either
    Given 2 gateways and 1 runner with few slots
    When a job of 60 items is accepted at gateway 0, which watches the store
    And the store is down
    Then items of it are still sent 4 seconds later

  # A store may refuse some gateways while it acknowledges ends to others.
  Scenario: A gateway that alone does not reach the store hears of an end from a peer
    Given 1 gateway and 1 runner with few slots
    And gateway 1, which reaches the store on a path of its own
    When a job of 60 items is accepted at gateway 1, which watches the store
    And the path to the store is closed
    And the end of the job is written by a gateway that is lost at once
    Then no item of it is sent later than 3 seconds after the end

  Scenario: The response that tells of the end is lost, and the store's history as well
    Given 1 gateway and 1 runner with few slots
    When a job of 60 items is accepted at gateway 0, which watches the store
    And the store loses the responses to watches of "batch-ends"
    And the end of the job is written by a gateway that is lost at once
    And the store discards its history
    Then no item of it is sent later than 3 seconds after the end

  Scenario: A gateway is suspended while it asks the store for ends
    Given a gateway that is suspended for 8 seconds while it asks the store for ends
    Then its next item is withheld, and the one after it is sent

  Scenario Outline: The store is asked for ends at most once in 2 seconds
    Given 1 gateway and 1 runner with few slots
    When a job of <items> items is accepted at gateway 0, which watches the store
    And its items are sent for <seconds> seconds
    Then the store was asked for ends <least> to <most> times

    Examples:
      | items | seconds | least | most |
      | 4     | 1.5     | 0     | 0    |
      | 60    | 7       | 1     | 3    |

Feature: Placement by schedulers in a large fleet

  Scenario: Requests of a sudden peak find free slots
    Given 50 nodes and 45 endpoints of 8 slots that are filled by batch
    When the online load jumps from 80 to 390 requests per second and falls back
    Then a scheduler places 99 in 100 of them at a free or preempted slot
    And nodes that place by gossip one second old do not

  Scenario: A new scheduler knows the fleet's loads within a second
    Given 50 nodes and 45 endpoints of 8 slots that are filled by batch
    When the scheduler is lost at the height of a peak
    Then one second later 99 in 100 requests get a free or preempted slot again

  Scenario: Late items leave slots to items that can finish on time
    When a scheduler has refused an item and a slot becomes free
    Then a late item does not get it, and an item that can finish on time does

  Scenario: A late item gets a slot while items of other endpoints are refused
    When a scheduler with a full and a free endpoint refuses items of the full one
    Then a late item of the free endpoint gets a slot each time

  Scenario: A backlog does not make all later items late
    When 20 slots that run 4 items per second get as many and stop for 20 seconds
    Then 9 in 10 items submitted 20 seconds later finish within 18 seconds
    And in order of due time alone less than half of them do

  Scenario: A scheduler handles reports in any order
    Then for any order of reports and placements no endpoint exceeds slots and queue

  Scenario: A small fleet stays small while its nodes are replaced
    When 9 nodes are replaced one by one, 30 seconds apart
    Then the fleet counts as small, and one of 14 nodes as large

  Scenario: The loss of one scheduler moves only its own groups
    Then if any of 200 nodes is lost, the groups of the others do not move

  Scenario: A job of a large fleet finishes on time although its holder is killed
    Given 14 gateways and 4 runners
    When a job of 8 items is submitted at gateway 5
    And gateway 5 is killed
    Then within 10 seconds all items are completed at gateway 1

  Scenario: A large fleet continues to serve after its scheduler is killed
    Given 14 gateways and 4 runners
    When all gateways know each other and the scheduler is killed
    Then each other gateway answers "/once/1" completely within a second

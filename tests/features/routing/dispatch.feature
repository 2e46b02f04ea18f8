Feature: Tickets get slots by class, fairly, and only where they may run

  Scenario: The dispatcher keeps its promises over random events
    When a dispatcher is driven by random events
    Then it never granted beyond slots, twice, or on a leaving endpoint

  Scenario: A flood lengthens only its own workspace's queue
    Given a dispatcher with 4 endpoints of 8 slots
    When hays sends five times what russell and colby send, above the capacity
    Then each workspace got at least 0.9 of its fair share

  Scenario: A request that has failed everywhere is answered at once
    Given a dispatcher with 2 endpoints of 8 slots
    When a ticket waits that may not run on either endpoint
    Then it is rejected at once with a time to come back

  Scenario: A burst of online requests takes as many batch slots at once
    Given a dispatcher with 2 endpoints of 8 slots
    When batch fills all slots and 5 online requests come
    Then the 5 latest batch tickets are preempted before anything else happens

  Scenario: Batch of another node yields to a burst
    Given a dispatcher with 2 endpoints of 8 slots
    And a second node whose batch fills all slots
    When 5 online requests come to the first node
    Then the second node is asked at once and 5 requests are granted

  Scenario: A request that can't make its deadline is refused early
    Given a dispatcher with 1 endpoints of 1 slots
    When requests take 2 seconds and ten wait with 5 seconds to go
    Then those that can't make it are refused with a time to come back

  Scenario: A failing endpoint is ejected and returns gently
    Given a dispatcher with 2 endpoints of 8 slots
    When one endpoint can't be reached and 16 requests wait
    Then the endpoint gets one request first, and more with each success

  Scenario: A returning endpoint gets work though others are free
    Given a dispatcher with 6 endpoints of 8 slots
    When one endpoint could not be reached and single requests follow
    Then a request runs on it within 2 seconds

  Scenario: Batch yields before an online request queues at an engine
    Given a dispatcher with 2 endpoints of 8 slots
    And peers that hold 2 slots of the first endpoint and 2 of the second
    When 20 batch tickets and then 1 online request come
    Then 12 batch tickets were granted, and the latest one yields to the request

  Scenario: Batch gets no slot that only fractions of estimates add up to
    Given a dispatcher with 2 endpoints of 8 slots
    And peers whose short requests hold 3 slots of the first endpoint
    When 20 batch tickets and then 0 online request come
    Then 13 batch tickets were granted

  Scenario: Batch goes on beside the slots that it yielded to a peer
    Given a dispatcher with 2 endpoints of 8 slots
    When 20 batch tickets and then 0 online request come
    And a peer asks for 2 slots, and then 3 batch tickets end
    Then 1 waiting batch ticket is granted, and 3 more once the peer's requests end

  Scenario: Trial batch waits while a peer's paying batch finds no slot
    Given a dispatcher with 2 endpoints of 8 slots
    When a peer's paying batch waits and 20 trial batch tickets come
    Then no trial batch ticket is granted until the peer's paying batch has slots

  Scenario: Batch that may not be repeated runs on
    Given a dispatcher with 2 endpoints of 8 slots
    When 16 batch tickets that may not be repeated and 1 online request come
    Then none of them yields, and the peers are asked

  Scenario: Slots kept free in a burst go back to batch soon after it
    Given a dispatcher with 2 endpoints of 8 slots
    When 60 online requests come and end within a second, and batch follows
    Then batch leaves some slots free, and none 4 seconds later

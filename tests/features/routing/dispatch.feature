Feature: The dispatcher grants slots by priority, fairly, on eligible endpoints only

  Scenario: The dispatcher keeps its invariants over random events
    When a dispatcher is driven by random events
    Then no ticket is granted twice, beyond the slots, or on a leaving endpoint

  Scenario: A burst of one workspace delays only its own requests
    Given a dispatcher with 4 endpoints of 8 slots
    When hays sends five times the rate of russell and colby, above the capacity
    Then each workspace got at least 0.9 of its fair share

  Scenario: A request that no endpoint may run is refused immediately
    Given a dispatcher with 2 endpoints of 8 slots
    When a ticket that excludes both endpoints is submitted
    Then it is rejected immediately with a retry time

  Scenario: A burst of online requests preempts as many batch tickets
    Given a dispatcher with 2 endpoints of 8 slots
    When batch fills all slots and 5 online requests come
    Then the only effects are the preemptions of the 5 latest batch tickets

  Scenario: Batch of a peer is preempted for a burst of online requests
    Given a dispatcher with 2 endpoints of 8 slots
    And a second node whose batch fills all slots
    When 5 online requests come to the first node
    Then the second node yields slots and 5 requests are granted

  Scenario: A node that starts does not fill the slots that batch of peers holds
    Given a dispatcher that hears of 8 batch slots at peers before its endpoint of 8 slots
    When 8 batch tickets and then 8 online request come
    Then no batch ticket was granted, and 8 requests get the slots of peers

  Scenario: A request that would miss its deadline is refused on arrival
    Given a dispatcher with 1 endpoints of 1 slots
    When requests take 2 seconds and 10 are submitted with a deadline in 5 seconds
    Then those that would miss it are refused with a retry time

  Scenario: A failing endpoint is ejected and readmitted gradually
    Given a dispatcher with 2 endpoints of 8 slots
    When one endpoint can't be reached and requests keep arriving
    Then it gets one request first, and twice as many after each successful round

  Scenario: A readmitted endpoint gets requests though others are free
    Given a dispatcher with 6 endpoints of 8 slots
    When one endpoint could not be reached and single requests follow
    Then a request runs on it within 2 seconds

  Scenario: Batch is preempted before an online request queues at an engine
    Given a dispatcher with 2 endpoints of 8 slots
    And peers that hold 2 slots of the first endpoint and 2 of the second
    When 20 batch tickets and then 1 online request come
    Then 12 batch tickets were granted, and the latest one is preempted for the request

  Scenario: Fractions of load estimates do not add up to a slot for batch
    Given a dispatcher with 2 endpoints of 8 slots
    And peers whose short requests hold 3 slots of the first endpoint
    When 20 batch tickets and then 0 online request come
    Then 13 batch tickets were granted

  Scenario: Batch keeps its remaining slots after it has yielded some to a peer
    Given a dispatcher with 2 endpoints of 8 slots
    When 20 batch tickets and then 0 online request come
    And a peer asks for 2 slots, and then 3 batch tickets end
    Then 1 waiting batch ticket is granted, and 3 more once the peer's requests end

  Scenario: Trial batch waits while a peer's paying batch has no slot
    Given a dispatcher with 2 endpoints of 8 slots
    When a peer's paying batch waits and 20 trial batch tickets come
    Then no trial batch ticket is granted until the peer's paying batch has slots

  Scenario: Peers hear at once of paying batch that waits, and only once
    Given a dispatcher with 2 endpoints of 8 slots
    When 20 batch tickets and then 0 online request come
    Then the next tick tells the peers that paying batch waits, and later ones do not

  Scenario: Batch that may not be repeated is not preempted
    Given a dispatcher with 2 endpoints of 8 slots
    When 16 batch tickets that may not be repeated and 1 online request come
    Then none of them is preempted, and the peers are asked to yield

  Scenario: Slots reserved for online requests in a burst are released after it
    Given a dispatcher with 2 endpoints of 8 slots
    When 60 online requests come and end within a second, and batch follows
    Then batch leaves some slots free, and none 4 seconds later

Feature: Requests with homes, and their bodies, stay in their home regions

  Background:
    Given a map of failure domains in the regions "north" and "south"

  # An endpoint elsewhere, or in a failure domain that the map lacks, ran the request.
  Scenario Outline: <kind> are placed in their home regions only
    Given a coordinator with an endpoint in "north", in "south" and in no known region
    When 40 <kind> with the home "south" are placed
    Then all of them are at the endpoint in "south"
    And the failure domain without a region was logged once
    When the endpoint in "south" has left
    Then <kind> with the home "south" find no endpoint, and none to wait for
    And <kind> without homes are placed

    Examples:
      | kind            |
      | online requests |
      | batch items     |

  Scenario: A scheduler places requests of other nodes in their home regions only
    Given a coordinator with an endpoint in "north", in "south" and in no known region
    When a peer lets it schedule 20 requests with the home "south"
    Then all of them are at the endpoint in "south"

  # Schedulers of the release before ignore the regions.
  Scenario: A node begins no request at an endpoint that an older scheduler chose elsewhere
    Given a coordinator with an endpoint in "north", in "south" and in no known region
    When an older scheduler chose the endpoint in "north" for the home "south"
    Then the node does not begin the request there
    And the next choice in "south" is taken

  Scenario: A reserved place is given up when it is in no home any more
    Given a coordinator with an endpoint in "north", in "south" and in no known region
    When a place in "north" is reserved
    Then it is not taken for a request whose home is "south" by now

  # A configuration that moved the homes while a request was placed or connected came
  # too late for it.
  Scenario Outline: A request with homes is checked again right before it is sent: <case>
    Given a coordinator with an endpoint in "north", in "south" and in no known region
    And a request with the home "<home>" that is placed there and sent <seconds> seconds later
    When <change> happens meanwhile
    Then the attempt is <outcome>, after <asked> questions

    Examples:
      | case                  | home       | seconds | change                                | outcome  | asked |
      | moved, sent later     | north      | 0.2     | a move of the homes                   | withheld | 0     |
      | moved, sent at once   | north      | 0.0     | a move of the homes                   | withheld | 0     |
      | no region, sent later | north      | 0.2     | a configuration that allows no region | withheld | 0     |
      | still a home          | north      | 0.0     | another configuration                 | sent     | 1     |
      | endpoint leaving      | north      | 0.2     | the leaving of the endpoint           | withheld | 1     |
      | nothing, sent later   | north      | 0.2     | nothing                               | sent     | 1     |
      | nothing, sent at once | north      | 0.0     | nothing                               | sent     | 0     |
      | no homes, sent later  | everywhere | 0.2     | another configuration                 | sent     | 0     |

  # It must not look as if it may have run.
  Scenario Outline: A request whose homes move before it is sent <what>
    Given a coordinator with an endpoint in "north", in "south" and in no known region
    And endpoints that answer in <regions>
    When a request that must not run twice is placed in "north", and its home is "south" by then
    Then it got <status>, and ran <where>

    Examples:
      | what              | regions             | status | where      |
      | goes to its homes | "north" and "south" | 200    | in "south" |
      | is refused        | "north"             | 503    | nowhere    |

  Scenario: A node that is cut off lets only peers in home regions forward a request
    Given a coordinator with an endpoint in "north", in "south" and in no known region
    And peers in both regions and in no known region
    Then requests with the home "south" may be forwarded by the peers in "south" only
    And requests without homes may be forwarded by all peers
    And requests that no region is allowed for may be forwarded by none

  # One list of the request's messages has nothing new for deployments without homes.
  Scenario: Requests without homes send the same messages as before
    Then the call to a scheduler for a request without homes has no field of regions

  Scenario: A job with homes is taken over by a node of a home only
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have the home "south"
    When "a" accepts a job and is lost
    Then "c" or "d" holds the job within 10 seconds
    And "b" has never held it

  Scenario: A job whose homes have no live node stays in the store until one is
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have the home "south"
    When "c, d" are lost
    And "a" accepts a job and is lost
    Then nobody holds the job for 20 seconds, and "b" logs that it waits for a region
    When "d" starts again
    Then "d" holds the job within 10 seconds

  Scenario: A job that waits in the store follows new homes
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have the home "south"
    When "c, d" are lost
    And "a" accepts a job and is lost
    Then nobody holds the job for 20 seconds, and "b" logs that it waits for a region
    When a new configuration moves the homes to "north"
    Then "b" holds the job within 10 seconds

  # The lowest id alone looked for jobs in a large fleet, also where it is in no home.
  Scenario: Jobs with homes are taken over in a large fleet
    Given 16 gateways of which the last 6 are in "south"
    And jobs have the home "south"
    When the first one accepts a job and is lost
    Then one of the last 6 holds the job within 20 seconds
    And no other one has held it since

  Scenario: A node without access to the store lets a peer of a home store a job
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have the home "south"
    When "a" accepts 6 jobs while it does not reach the store
    Then "c" and "d" were asked to store jobs, and "b" was not
    When "c, d" are lost
    Then "a" refuses a job at once with 503 while it does not reach the store

  Scenario: A node stores no job of an older peer outside of the job's homes
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have the home "south"
    When "c" asks "b" to store a job as an older release does
    Then "b" refuses it

  Scenario: A node outside of the homes reads an item's body from the store
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have the home "south"
    When "c" accepts a job
    And a caller reads a body of the job at "b" and at "d"
    Then both got it, and only "d" asked a peer for it

  # A holder gave a body to each peer that asked for it.
  Scenario Outline: A holder gives bodies to instances in the homes only: <asker>, <how>
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have the home "south"
    When "c" accepts a job
    And "<asker>" asks "c" for a body as <how>
    Then the holder gives <what>

    Examples:
      | asker | how                                 | what     |
      | b     | this release does                   | nothing  |
      | b     | the release before does             | nothing  |
      | d     | this release does                   | the body |
      | d     | the release before does             | the body |
      | d     | a node that is not known does       | nothing  |
      | d     | a node beside one in the north does | nothing  |

  Scenario Outline: A holder gives bodies of a job without homes to all: <how>
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have no home, but requests of another route have the home "south"
    When "c" accepts a job
    And "b" asks "c" for a body as <how>
    Then the holder gives the body

    Examples:
      | how                           |
      | this release does             |
      | the release before does       |
      | a node that is not known does |

  Scenario: A refused body is logged
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have the home "south"
    When "c" accepts a job
    And "b" asks "c" for a body as this release does
    Then "c" logged that it refused the body

  # The region of the job was read from the store as soon as any request had homes.
  Scenario: An item without homes is read while the store is away, though others have homes
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have no home, but requests of another route have the home "south"
    When "c" accepts a job
    And the store answers "b" no more
    And a caller reads a body of the job at "b"
    Then it got it from the holder, without a call of "b" to the store
    And the call names the failure domain of "b": yes

  Scenario: An item is read in its home while the store is away
    Given gateways "a, b" in "north" and "c, d" in "south"
    And jobs have the home "south"
    When "c" accepts a job
    And the store answers "d" no more
    And a caller reads a body of the job at "d"
    Then it got it from the holder, without a call of "d" to the store
    And the call names the failure domain of "d": yes

  # Deployments without homes send the same messages as before.
  Scenario: A read of an item names no failure domain where no request has homes
    Given gateways "a, b" in "north" and "c, d" in "south"
    When "c" accepts a job
    And a caller reads a body of the job at "b"
    Then it got it from the holder, without a call of "b" to the store
    And the call names the failure domain of "b": no

  # Items of a job without an endpoint kept those of other jobs of its service waiting.
  Scenario: Items that no home has an endpoint for do not block others
    Given an item runner whose endpoint is in "north"
    And a job with the home "south" and a later one with the home "north"
    Then the items of the later job run, and none of the other one
    When a new configuration gives the waiting job the home "north"
    Then its items run as well

  Scenario: Jobs that no region is allowed for wait
    Given an item runner whose endpoint is in "north"
    And a job whose route and workspace have no region in common
    Then none of its items runs, which is logged once

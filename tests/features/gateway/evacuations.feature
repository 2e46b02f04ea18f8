Feature: Evacuated failure domains get no new requests

  Scenario Outline: The decisions follow the entries: <steps>
    Given endpoints in the domains "a, b, c", and nodes in the domains "a, b, c, bare"
    When <steps>
    Then requests and items are placed in "<used>" only
    And the evacuated domains are "<evacuated>"

    Examples:
      | steps                                                      | used    | evacuated  |
      | nothing is evacuated                                       | a, b, c | none       |
      | the entries "a" are written                                | b, c    | a          |
      | the entries "a, b" are written                             | c       | a, b       |
      | the entries "a, b, c" are written                          | none    | a, b, c    |
      | the entries "bare" are written                             | a, b, c | bare       |
      | the entries "attic" are written                            | a, b, c | attic      |
      | the entries "a, b" are written, then "a" is removed        | a, c    | b          |
      | the entries "a, b" are written, then "b, c" are listed     | a       | b, c       |
      | the entries "a, b" are written, then "none" are listed     | a, b, c | none       |
      | the entries "a" are written, then the store is away        | b, c    | a          |
      | the entries "a" are written, then all endpoints are listed | b, c    | a          |
      | the entries "a" are written, then an endpoint is added     | b, c    | a          |

  # Peers named a node to callers that refused them all until it knew the evacuations.
  Scenario: A node that does not know the evacuations yet is not named to callers
    Given endpoints in the domains "a, b", and nodes in the domains "a, b"
    When it reads the configuration
    Then it tells peers of no version in force
    When the evacuations "none" are listed
    Then it tells peers of its version

  Scenario: Endpoints of an evacuated domain keep their group, and its requests run on
    Given endpoints in the domains "a, b, c", and nodes in the domains "a, b, c, bare"
    When a request is placed in "a"
    And the entries "a" are written
    Then the groups of endpoints are the same as before
    And the request counts as in flight in "a"

  # A last resort for a service that leaves as a whole; an evacuation is none.
  Scenario: Endpoints that leave and are evacuated get nothing
    Given endpoints in the domains "a", and nodes in the domains "a"
    When all endpoints announce their shutdown
    And the entries "a" are written
    Then requests and items are placed in "none" only

  Scenario: A scheduler's choice in an evacuated domain is refused by the asking node
    Given endpoints in the domains "a, b", and nodes in the domains "a, b"
    When the entries "a" are written
    Then a node does not begin a request that another one placed in "a"

  Scenario: A return is told to what limits the load, with the endpoints
    Given endpoints in the domains "a, b", and nodes in the domains "a, b"
    When the entries "a" are written, then "a" is removed
    Then the return of the endpoints in "a" was told once
    And since its removal the endpoints in "a" are limited, in "b" never

  Scenario: A name of no failure domain is logged once, and has an effect if one appears
    Given endpoints in the domains "a", and nodes in the domains "a"
    When the entries "attic" are written
    And the entries "attic" are written
    Then the name "attic" was ignored with one log line
    When an endpoint in the domain "attic" registers
    Then requests and items are placed in "a" only

  # An older release answers a poll with a kind that it does not know by nothing at all.
  Scenario: A follower that does not know evacuations relays the other kinds all the same
    Given a node that relies on a follower for "config, servers" and "evacuations"
    When the follower tells of "config, servers" for 5 seconds
    Then the node relies on it for "config, servers" only
    When the follower tells of "config, servers, evacuations" for 5 seconds
    Then the node relies on it for "config, servers, evacuations" only
    When the follower tells of "config, servers" once
    Then the node relies on it for "config, servers" only
    When another follower tells of "config, servers, evacuations" as well for 5 seconds
    Then the node relies on it for "config, servers, evacuations" only

  Scenario: A node that does not follow evacuations answers for the other kinds
    Then updates are told for "config", and "evacuations" is left out if not followed

  Scenario: A node is not ready before it has listed the evacuations
    Then a cache with a configuration and endpoints is complete once evacuations are known
    And a peer's list of evacuations is applied before the store's and not after it

  Scenario: Nothing arrives in an evacuated domain while requests and items go on
    Given 3 gateways, and 2 slow runners in each of the domains "zone-a" and "zone-b"
    When requests of all kinds and a job of 300 items arrive at all gateways
    And the domain "zone-a" is evacuated
    Then from 1 second later on nothing arrives in "zone-a" for 4 seconds
    And requests and items arrive in "zone-b" meanwhile
    And the requests that ran in "zone-a" are complete
    When the evacuation of "zone-a" ends
    Then within 2 seconds requests arrive in "zone-a"
    And all requests were answered
    And the evacuation was logged and counted

  Scenario: Broken streams are resumed elsewhere than in an evacuated domain
    Given 2 gateways, and runners in "zone-a, zone-b, zone-b", the second of which breaks
    When the domain "zone-a" is evacuated
    Then 30 streams are complete, and some were resumed, but not in "zone-a"

  Scenario: An evacuation stays in force while the store is away, and ends by its list
    Given 2 gateways, and 1 runner in each of the domains "zone-a" and "zone-b"
    When the domain "zone-a" is evacuated
    And the store is away for 3 seconds, in which the entry of "zone-a" is removed
    Then nothing arrived in "zone-a" meanwhile though requests were answered
    And within 3 seconds requests arrive in "zone-a"

  Scenario Outline: A gateway starts during an evacuation <case>
    Given 2 gateways, and 1 runner in each of the domains "zone-a" and "zone-b"
    When the domain "zone-a" is evacuated
    And a gateway starts <case>
    Then 20 requests at the new gateway are answered and none arrives in "zone-a"

    Examples:
      | case                     |
      | while the store is there |
      | while the store is away  |

  Scenario: All domains are evacuated
    Given 2 gateways, and 1 runner in each of the domains "zone-a" and "zone-b"
    When the domains "zone-a, zone-b" are evacuated
    Then 10 requests are refused within 0.3 seconds, with 503 and a Retry-After
    And their log lines name the domains "zone-a, zone-b"
    And the refusals are counted
    When the evacuation of "zone-b" ends
    Then within 2 seconds requests arrive in "zone-b"
    And nothing arrived in "zone-a" meanwhile

  Scenario: An evacuation reaches all gateways of a large fleet
    Given 15 gateways, and 1 runner in each of the domains "zone-a" and "zone-b"
    When three gateways follow the store and all others rely on them
    And the domain "zone-a" is evacuated
    Then all gateways know within 1 second that "zone-a" is evacuated
    And at most 3 gateways watch the evacuations
    When the evacuation of "zone-a" ends
    Then all gateways know within 1 second that "none" is evacuated

  Scenario: A watch that misses the change
    Given 2 gateways, and 1 runner in each of the domains "zone-a" and "zone-b"
    When the watches of evacuations that wait get no answer any more
    And the domain "zone-a" is evacuated
    Then from 5 seconds later on nothing arrives in "zone-a" for 2 seconds

  # A connect may take as long as the time in which an evacuation has to be in force.
  Scenario Outline: A request is checked again right before it is sent: <case>
    Given a request that is placed in "a" and sent <seconds> seconds later
    When the domain is <state> meanwhile
    Then its attempt is <outcome>

    Examples:
      | case                       | seconds | state     | outcome  |
      | evacuated while connecting | 0.2     | evacuated | withheld |
      | sent at once               | 0.0     | evacuated | sent     |
      | nothing happened           | 0.2     | in use    | sent     |

  Scenario Outline: A gateway that sends a request for a peer refuses it: <case>
    Given a gateway that is asked to send a request to an endpoint in "a"
    When it learns of the evacuation <case>
    Then the endpoint gets nothing, and the peer may send the request elsewhere

    Examples:
      | case              |
      | before            |
      | while it connects |
      | after its start   |

  # The scheduler of an older release places in the domain again and again.
  Scenario: A scheduler that knows no evacuation is asked once more without the domain
    Given endpoints in the domains "a, b", and nodes in the domains "a, b"
    When the entries "a" are written
    And a scheduler that knows no evacuation places a request, first in "a"
    Then the request runs in "b" after 2 questions, without all endpoints in "a"

  # Followers of both releases, which answer for different kinds.
  Scenario: An evacuation is known to the gateways of this release beside an older one
    Given 12 gateways of the release in production beside 3 of this one with evacuations
    When three gateways follow the store and all others rely on them
    And the domain "zone-a" is evacuated
    Then the gateways of this release know within 1 second that "zone-a" is evacuated
    And three gateways follow the store and all others rely on them
    When the runner is removed from the store
    Then all gateways know it within 2 seconds

  # A peer was asked for its lists only if it had a newer configuration.
  Scenario: A node that read its configuration, but no evacuations, asks its peers
    Given gateways "a, b, c" with one configuration, of which "c" knows evacuations
    When "c" lists the evacuations "zone-a"
    Then "a" knows within 4 seconds that "zone-a" is evacuated, and is complete

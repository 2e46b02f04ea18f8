Feature: Endpoints of several software versions serve side by side

  What two versions write does not fit together.

  Scenario: A broken stream goes on at the version that began it
    Given 1 gateway and runners of "v1 that breaks, v1, v2 that breaks, v2, v2"
    When 12 callers request streams that may be resumed from gateway 0
    Then every stream is complete, each with the events of one version

  Scenario: A stream whose gateway was killed goes on at its version
    Given 3 gateways and slow runners of "v1, v1, v2, v2"
    When 8 callers request streams that may be resumed from gateway 0
    And gateway 0 is killed while they run
    And each caller takes its stream up at gateway 1 or 2
    Then every stream is complete, each with the events of one version

  Scenario: A stream of a version that no longer serves is refused at once
    Given 2 gateways and slow runners of "v1, v2"
    When 4 callers request streams that may be resumed from gateway 0
    And gateway 0 is killed while they run
    And the entries of all runners of "v2" are removed
    And each caller takes its stream up at gateway 1
    Then the streams of "v1" are complete, those of "v2" were refused within 0.5 seconds

  Scenario: A stream that nobody knows is refused while several versions serve
    Given 1 gateway and runners of "v1, v2"
    And both versions have served for longer than a stream takes
    When a caller takes an unknown stream up at gateway 0
    Then it is refused with 503 and as not run

  Scenario: An item's output is of one version
    Given 1 gateway and runners of "v1 that breaks, v2"
    When a job of 8 items is submitted at gateway 0
    Then within 15 seconds all items are completed at gateway 0
    And the output of each item is of one version

  Scenario: A peer that restarts is told the version of a stream
    Given a peer whose calls succeed
    When the peer stops, a note of a stream is sent, and the peer starts 0.6 seconds later
    Then within 3 seconds the peer knows the stream's version

  Scenario: A peer is told the version of a stream though its connection fell silent
    Given a peer whose calls succeed
    When its open connections fall silent, and a note of a stream is sent
    Then within 3 seconds the peer knows the stream's version

  Scenario: A stream that nobody knows is taken up after its version has left the list
    Given a gateway that listed versions "v1, v2" and lists "v2" now
    Then it does not take an unknown stream up at "v2" within 15 seconds
    And it tells peers of new streams for 15 seconds
    And it takes an unknown stream up at "v2" after 25 seconds

  # Its list may lack the version that began the stream: others may read the store.
  Scenario: A gateway that is cut off from the store and its peers knows no only version
    Given a gateway that listed versions "v1" and lists "v1" now
    When it can't read the list and no peer answers for 30 seconds
    Then it does not take an unknown stream up at "v1" 30 seconds later

  # Nobody knows any more at which version a stream began.
  Scenario: Streams are joined from two versions after all gateways were killed
    Given 3 gateways and slow runners of "v1, v1, v2, v2"
    And both versions have served for longer than a stream takes
    When 8 callers request streams that may be resumed from gateway 0
    And all gateways are killed while they run, and runners of "v1" leave meanwhile
    And each caller takes its stream up at gateway 1 or 2
    Then no stream has the events of two versions
    And 4 new streams at gateway 1 are complete

  Scenario: A stream of the only version is refused after all gateways were killed
    Given 3 gateways and slow runners of "v2, v2"
    When 8 callers request streams that may be resumed from gateway 0
    And all gateways are killed while they run
    And each caller takes its stream up at gateway 1 or 2
    Then every stream is complete

  Scenario Outline: A gateway out of step joins a stream to the only version it knows
    Given a gateway that listed versions "v1" and lists "v1" now
    When the store lists "v1, v2", and <answer>
    Then it does not take an unknown stream up at "v1"

    Examples:
      | answer                                        |
      | no peer answers                               |
      | a peer answers that knows versions "v1, v2"   |
      | a peer answers that has just started          |

  # Peers were told of a stream when it began only, so that its version was unknown.
  Scenario: Streams that run at the start of a release are refused after their gateway is killed
    Given 3 gateways and runners of "v1, v1, v1" with long streams
    When 12 callers request streams that may be resumed from gateway 0
    And all have begun, and a runner of "v2" is listed
    And gateway 0 is killed 0.8 seconds later
    And the callers take their streams up at gateway 2
    Then all streams are complete, each with the events of one version

  # The gateway that takes a stream up is the only one that knows its version.
  Scenario: Streams that were taken up before a release are refused after their gateway is killed
    Given 3 gateways and runners of "v1, v1, v1" with long streams
    When 12 callers request streams that may be resumed from gateway 0
    And gateway 0 is killed while they run
    And the callers take their streams up at gateway 1
    And all have begun, and a runner of "v2" is listed
    And gateway 1 is killed 0.8 seconds later
    And the callers take their streams up at gateway 2
    Then all streams are complete, each with the events of one version

  # A gateway that starts knows nothing of the streams that run.
  Scenario: Streams are refused by a gateway that started after they began
    Given 2 gateways and runners of "v1, v1, v2, v2" with long streams
    When 8 callers request streams that may be resumed from gateway 0
    And all have begun, and gateway 1 is killed and starts again
    And gateway 0 is killed 1.5 seconds later
    And the callers take their streams up at gateway 1
    Then all streams are complete, each with the events of one version

  Scenario Outline: A peer is told of a stream that began before a release: <event>
    Given a gateway that listed versions "v1" and lists "v1" now
    When a stream begins there, <event>, and "v2" is listed as well
    And it looks for peers to tell, 0.2 seconds later
    And it looks for peers to tell, 0.2 seconds later
    Then the peer has been told of the stream <count> times
    When the peer has started again
    And it looks for peers to tell, <seconds> seconds later
    Then the peer has been told of the stream <again> times

    Examples:
      | event                       | count | seconds | again |
      | it goes on                  | 1     | 0.2     | 2     |
      | it breaks                   | 1     | 0.2     | 2     |
      | it breaks                   | 1     | 6       | 1     |
      | it ends                     | 0     | 0.2     | 0     |
      | a peer loses the first note | 1     | 0.2     | 2     |

  # The service was that of the new request's id, which the stream did not run at.
  Scenario: Streams of a split route are looked for in another service
    Given 3 gateways and a route for streams that is split over 4 services
    When 24 callers request streams that may be resumed from gateway 0
    And gateway 0 is killed while they run
    And the callers take their streams up at gateway 1
    Then all streams are complete, each with the events of the version that began it

Feature: Late writes, outdated evidence and silences beside the paths that were mended

  Scenario: Results of a job that was released while other results were written
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" is cut off until "b" has adopted the job
    And "a" is back for 12 seconds and is read, while "b" waits for the write of another job's results
    Then a read at "c", which can't reach "a", returns no more results than one at "a"

  Scenario: Two reads of a job from the store at the same moment
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "c", which can't reach "a", is read while another read there stores its page
    Then both reads and a later one return 1 result

  Scenario: An end of a job that was refused as not run takes effect
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When the end of the job is written without an answer, and takes effect 5 seconds later
    Then the caller was not told that the call never takes effect

  Scenario: A stream is taken up after its version has left the list
    Given a gateway that knows only version "v2", and a peer that noted "v1" for a stream
    Then the gateway does not take the stream up at "v2"

  Scenario: A request whose runners fell silent in turn is not taken for one that crashes them
    Given 1 gateway and 2 slow runners
    When each runner falls silent in turn while it runs a stream of "/resume/1"
    And a caller requests "/resume/1" from gateway 0
    Then the response is 200, signed and complete with 12 events

  Scenario: Replaced connections to a slow peer are closed
    Given a peer server behind a link, and a channel on which calls succeed
    When calls on the channel time out for 2 seconds, and a later one succeeds
    Then the channel's process has at most 6 sockets more than before

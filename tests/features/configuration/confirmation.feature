Feature: Requests are refused as not confirmed only after a read has failed to confirm

  Scenario Outline: Requests that follow a pause of <paused> are not refused
    # A pause of the machine let the evidence run out, and the first requests after it
    # were refused before the read that was due could confirm the revision.
    Given an unlimited fleet of 3 nodes and 2 endpoints
    When callers send requests and <paused> does not run for 2.6 s
    Then no request was lost, truncated or run twice

    Examples:
      | paused          |
      | node 1          |
      | the whole fleet |

  Scenario: A request waits for the read that is due and is served
    Given a node that waits 10 s for a read, whose revision was confirmed until 0.5 s ago
    When a request with a key arrives and a read confirms the revision 0.2 s later
    Then the request was answered with 200 after 0.2 to 5.0 s

  Scenario: A request is refused as soon as a read has not confirmed the revision
    Given a node that waits 10 s for a read, whose revision was confirmed until 0.5 s ago
    When a request with a key arrives and a read fails 0.2 s later
    Then the request was answered with 503 after 0.2 to 5.0 s
    And the next request is answered with 503 within 5.0 s

  Scenario: A request does not wait long for a read that does not end
    Given a node whose revision was confirmed until 0.5 s ago
    When a request with a key arrives and no read ends
    Then the request was answered with 503 after 1.0 to 1.9 s

  Scenario: A node that has never been confirmed refuses at once
    Given a node that waits 10 s for a read and has just started
    When a request with a key arrives and no read ends
    Then the request was answered with 503 after 0.0 to 5.0 s

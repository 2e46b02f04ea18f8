Feature: A cancelled job stops, and its finished results remain readable

  Scenario: No item starts on any node later than 3 seconds after an accepted cancel
    Given a batch fleet of 3 nodes and 2 endpoints
    When a job of 400 slow items is cancelled at node 0 once 60 items were started
    Then the cancel is accepted, and accepted again when repeated at node 1
    And no item starts later than 3 seconds after the cancel was accepted
    And the items in flight are aborted at the endpoints
    And the job ends as cancelled and its finished results are readable

  Scenario: A cancel takes effect while a node is killed and responses are lost
    Given a batch fleet of 3 nodes and 2 endpoints
    When a job of 400 slow items is cancelled at node 0 while 5 responses are lost, and node 0 is killed
    Then no item starts later than 3 seconds after the cancel was accepted
    And the job ends as cancelled and its finished results are readable

  Scenario: A node disconnected from the platform starts no item later than 3 seconds after a cancel
    Given a batch fleet of 2 nodes and 2 endpoints
    When node 1 is disconnected from the platform and a job of 400 slow items is cancelled
    Then no item starts later than 3 seconds after the cancel was accepted
    And the job ends as cancelled and its finished results are readable

  Scenario: A holder that resumes after the job has ended can't add results
    Given a segment of 5 items claimed by node-a
    When the job is cancelled, its segment is closed, and node-a commits afterwards
    Then node-a detects that its claim is lost

Feature: Homes and lost instances in a fleet of real gateways

  Scenario: Requests of a caller in another region run in their home region
    Given a gateway and a runner in "north" and in "south"
    And the route "safe" has the home "south"
    When 10 callers request the route "safe" at the gateway in "north"
    Then all of them ran in "south"
    When 10 callers request the route "once" at the gateway in "north"
    Then some of them ran in "north"
    And each directory names for callers of "north" the gateway in "south" only
    When the runner in "south" has left
    And 3 callers request the route "safe" at the gateway in "north"
    Then they are refused with 503 and a Retry-After within 1 second
    When the route "safe" gets the home "north"
    And 3 callers request the route "safe" at the gateway in "south"
    Then all of them ran in "north"

  # A stream that was admitted under the former homes was taken up there again.
  Scenario: A broken stream goes on in the homes of the configuration in force
    Given a gateway and a runner in "north" and in "south", of which the first breaks streams
    And the route "resume" has the home "north"
    When a caller's stream on the route "resume" runs while its home moves to "south"
    Then the stream is complete, and went on in "south" after it broke in "north"

  Scenario: Items of a job run in its home region
    Given a gateway and a runner in "north" and in "south"
    And the route "batch" has the home "south"
    When a job of 6 items is submitted to the gateway in "north"
    Then its items ran in "south" within 20 seconds

  Scenario: A killed gateway is not named any more
    Given 3 gateways and 1 runner
    When gateway 2 is killed and the directory of gateway 0 is asked
    Then it is not named from 6 seconds after the kill on, and the others are
    And gateway 0 logged that it leaves gateway 2 out, and counts 2 addresses

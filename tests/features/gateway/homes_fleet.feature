# Rule HOME of docs/design/cold-endpoints-evacuations-homes.md: a request with homes is
# run only by endpoints in these, and the directory names the instances of these.
@homes
Feature: Requests with homes run there, and nowhere else

  Scenario Outline: Requests whose <name> names the west run in the east
    Given 3 gateways and 6 runners in the east and the west
    When callers whose <name> names the west send 20 requests a second for 4 seconds
    Then all of these requests were answered
    And all that ran, ran in the west

    Examples:
      | name                |
      | route               |
      | streams' route      |
      | workspace           |
      | streams' workspace  |
      | route and workspace |

  Scenario: A request runs though its route and its workspace name different regions
    Given 3 gateways and 6 runners in the east and the west
    When callers whose route, but whose workspace names the east names the west send 10 requests a second for 2 seconds
    Then all of these requests were refused with 503 and a Retry-After
    And nothing ran

  Scenario: Requests that exceed the endpoints of their homes run in the east
    Given 3 gateways and 6 slow runners in the east and the west
    When callers whose route names the west send 24 requests a second for 5 seconds
    Then all that ran, ran in the west
    And each request was answered, or refused with a Retry-After

  Scenario: Streams that break in their homes go on in the east
    Given 3 gateways and 6 runners that break streams, in the east and the west
    When callers whose streams' route names the west send 10 requests a second for 4 seconds
    Then all that ran, ran in the west

  Scenario: Requests whose homes have no endpoint left run in the east, or wait
    Given 3 gateways and 6 runners in the east and the west
    When the runners of the west are gone
    And callers whose route names the west send 10 requests a second for 3 seconds
    Then all of these requests were refused with 503 and a Retry-After
    And nothing ran

  Scenario: Items run in the east while their homes have no endpoint
    Given 3 gateways and 6 runners in the east and the west
    When a job with homes in the west is submitted at each gateway
    And the runners of the west are gone for 3 seconds
    Then the jobs with homes are completed within 30 seconds
    And all that ran, ran in the west

  Scenario: A runner of a domain without a region runs requests with homes
    Given 3 gateways in the east, the west and a domain without a region
    When callers whose route names the west send 20 requests a second for 4 seconds
    Then all of these requests were answered
    And all that ran, ran in the west

  Scenario: The directory names instances where requests with homes may not go
    Given 3 gateways and 6 runners in the east and the west
    Then the directory of the west's routes names to a caller in the west at each gateway the west
    And the directory of the west's routes names to a caller in the east at each gateway the west
    And the directory of the other routes names to a caller in the east at each gateway all

  # An answer without addresses is a failure.
  Scenario: The directory names no instance when those of the homes are lost
    Given 3 gateways and 6 runners in the east and the west
    When the gateways of the west are killed for 7 seconds
    Then the directory of the west's routes names to a caller in the east at each gateway the east
    And the directory of the west's routes names to a caller in the north at each gateway the east

Feature: Gateways that are cut off from all endpoints serve their callers through peers

  Scenario: A cut from all endpoints is logged and counted, and so is its end
    Given 2 gateways and 3 runners with links of their own
    When gateway 0 is cut off by "refuse"
    And callers send 8 requests a second for 2 seconds at gateway 0
    And gateway 0 is reconnected
    And callers send 8 requests a second for 2 seconds at gateway 0
    Then the log of gateway 0 has a cut from all endpoints and its end

  Scenario Outline: Callers of gateways that are cut off by "<how>" are refused
    Given 4 gateways and 3 runners with links of their own
    When gateways <cut> are cut off by "<how>"
    And callers send 16 requests a second for 9 seconds at all gateways
    Then from 3 seconds on the cut gateways served as many first attempts as the others
    When the gateways are reconnected
    And callers send 16 requests a second for 4 seconds at all gateways
    Then from 2 seconds on all requests went to runners without a peer

    Examples:
      | how    | cut     |
      | hang   | 0       |
      | reset  | 0       |
      | refuse | 0       |
      | hang   | 0, 1, 2 |
      | refuse | 0, 1, 2 |

  Scenario Outline: Streams at a gateway that is cut off by "<how>" break, or come twice
    Given 3 gateways and 3 slow runners with links of their own
    When 12 streams run at gateway 0
    And gateway 0 is cut off by "<how>"
    Then the streams end complete, with each event once

    Examples:
      | how    |
      | reset  |
      | refuse |
      | hang   |

  Scenario: Requests that may not be repeated run twice at a cut
    Given 3 gateways and 3 runners with links of their own
    When callers send 40 requests a second that may not be repeated, at gateway 0
    And gateway 0 is cut off by "reset", then by "hang", each for 2 seconds
    Then no request ran twice, and none that ran was refused

  Scenario: Items of a job wait until the cut of its holder ends
    Given 2 gateways and 3 runners with links of their own
    When gateway 0 is cut off by "hang"
    And a job of 20 items is submitted at gateway 0
    Then within 10 seconds all items are completed at gateway 1

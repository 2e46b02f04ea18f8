Feature: Reads of a job after its holder changed or a write took effect late

  Gateways are simulated step by step, with simulated time, network and store. A result
  that was read is returned by every later read that is answered.

  Scenario: A holder that is in contact with all peers answers from memory
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    Then a read at "a" returns 1 result without a call to the store

  Scenario Outline: The adopter releases the job before the first holder hears of it
    Given gateways "a, b, c", and "<holder>" holds a job with 1 listed result
    When "<holder>" is <trouble> until "<adopter>" has adopted the job and listed 2 more
    And "<holder>" is back, and its gossip reaches "<adopter>" first
    And gossip goes on for 2 seconds
    Then reads at "<holder>, c, <adopter>" return 3 results

    Examples:
      | holder | adopter | trouble   |
      | a      | b       | cut off   |
      | a      | b       | suspended |
      | a      | b       | frozen    |
      | b      | a       | cut off   |
      | b      | a       | suspended |
      | b      | a       | frozen    |

  Scenario Outline: The adopter's answer to the first holder's gossip is lost
    Given gateways "a, b, c", and "<holder>" holds a job with 1 listed result
    When "<holder>" is cut off until "<adopter>" has adopted the job and listed 2 more
    And "<holder>" is back, and "<adopter>" receives its gossip, but the reply is lost
    And gossip goes on for 2 seconds
    Then reads at "<holder>, c, <adopter>" return 3 results

    Examples:
      | holder | adopter |
      | a      | b       |
      | b      | a       |

  Scenario Outline: The adopter hears of the first holder from a third gateway
    Given gateways "a, b, c", and "<holder>" holds a job with 1 listed result
    When "<holder>" is cut off until "<adopter>" has adopted the job and listed 2 more
    And "<holder>" is back, but has no contact to "<adopter>" for 3 seconds
    And gossip goes on for <seconds> seconds
    Then reads at "<holder>, c, <adopter>" return 3 results

    Examples:
      | holder | adopter | seconds |
      | a      | b       | 2       |
      | b      | a       | 2       |
      | a      | b       | 10      |
      | b      | a       | 10      |

  Scenario Outline: The adopter started while the first holder was cut off
    Given gateways "<gateways>", and "<holder>" holds a job with 1 listed result
    When "<holder>" is cut off until a new gateway "<adopter>" has adopted the job and listed 2 more
    And "<holder>" is back, but has no contact to "<adopter>" until the others have answered it
    Then reads at "<holder>" return 3 results
    When gossip goes on for 2 seconds
    Then reads at "<holder>, c, <adopter>" return 3 results

    Examples:
      | gateways | holder | adopter |
      | a, b, c  | a      | d       |
      | b, c, d  | d      | a       |

  Scenario Outline: Both holders meet, and no item ends at the remaining one
    Given gateways "a, b, c", and "<holder>" holds a job with 1 listed result
    When "<holder>" is cut off until "<adopter>" has adopted the job and listed 2 more
    And "<holder>" is back, and the gossip of "<adopter>" reaches it first
    And gossip goes on for 10 seconds
    Then reads at "<holder>, c, <adopter>" return 3 results

    Examples:
      | holder | adopter |
      | a      | b       |
      | b      | a       |

  Scenario: A holder without contact to its peers forgets them
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" is cut off until "b" has adopted the job and listed 2 more
    And gossip goes on for 22 seconds
    Then reads at "a, c, b" return 3 results

  Scenario: Lost contact among all gateways for 2 seconds moves no job
    Given gateways "a, b, c, d, e", and "b" holds a job with 1 listed result
    When all gateways lose contact with each other for 2.4 seconds
    And gossip goes on for 4 seconds
    Then no gateway has adopted the job

  Scenario: A holder in a large fleet that freezes for 5 seconds keeps its job
    Given gateways "a, b, c, d, e, f, g, h, i, j, k, l, m, n, o", and "b" holds a job with 1 listed result
    When "b" is frozen for 5 seconds
    And gossip goes on for 4 seconds
    Then no gateway has adopted the job

  Scenario: A gateway that loses most others for good takes over their jobs
    Given gateways "a, b, c, d, e", and "b" holds a job with 1 listed result
    When gateways "b, c, d, e" are stopped for good
    And gossip goes on for 12 seconds
    Then reads at "a" return 1 results
    And "a" holds the job

  Scenario: A job moves in time after gateways were replaced, each by one with a new id
    Given gateways "a, b, c, d, e", and "e" holds a job with 1 listed result
    When gateways "b, c, d, f" are replaced in turn by "f, g, h, i", each after 30 seconds
    And gateways "e" are stopped for good
    And gossip goes on for 3.2 seconds
    Then "a" holds the job

  Scenario: Lost contact moves no job after gateways were replaced
    Given gateways "a, b, c, d, e", and "e" holds a job with 1 listed result
    When gateways "b, c, d, f, g, h, i, j" are replaced in turn by "f, g, h, i, j, k, l, m", each after 30 seconds
    And all gateways lose contact with each other for 2.4 seconds
    And gossip goes on for 4 seconds
    Then no gateway has adopted the job

  Scenario Outline: A gateway that has forgotten some peers accepts a job
    Given gateways "a, b, c, d", and "<group>" were cut off from the others for 22 seconds when "a" accepted a job
    When the job is adopted by "<adopter>", which lists 2 more
    Then reads at "<group>, d" return 3 results

    Examples:
      | group | adopter |
      | a     | b       |
      | a, b  | c       |

  Scenario: A gateway starts without contact to the holder of a job
    Given gateways "a, b, c", and "b" holds a job with 1 listed result
    When "a" restarts, cut off from its peers, and has adopted the job of "b"
    And gossip goes on for 9 seconds
    Then reads at "a" return 1 results
    When "b" lists 2 results more
    Then reads at "a, b, c" return 3 results

  Scenario: A write without an answer takes effect after its page was read back
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" writes a result, without an answer, and the write takes effect 2 seconds later
    And gossip goes on for 2.2 seconds
    Then a read at "c", which can't reach "a", returns 2 results
    When gossip goes on for 1.2 seconds
    Then reads at "a, c, b" return 2 results

  Scenario: A former holder's write takes effect after the job was adopted
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" writes a result, without an answer, and the write takes effect 5 seconds later
    And "a" is cut off until "b" has adopted the job and listed 0 more
    And gossip goes on for 3 seconds
    Then a read at "c", which can't reach "b", returns 2 results
    When gossip goes on for 20 seconds without "a"
    Then reads at "b, c" return 2 results

  Scenario: A write of a holder takes effect after the holder's restart
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" writes a result, without an answer, and the write takes effect 5 seconds later
    And "a" restarts
    And gossip goes on for 3 seconds
    Then reads at "a, c, b" return 1 results
    When gossip goes on for 3 seconds
    Then a read at "c", which can't reach "a", returns 2 results
    When gossip goes on for 1.2 seconds
    Then reads at "a, c, b" return 2 results

  Scenario: A write of an adopter takes effect after its restart and the first holder's return
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" is cut off until "b" has adopted the job and listed 0 more
    And "b" writes a result, without an answer, and the write takes effect 5 seconds later
    And "b" restarts
    And "a" is back, and its gossip reaches "b" first
    And gossip goes on for 3 seconds
    Then reads at "a, c, b" return 1 results
    When gossip goes on for 3 seconds
    Then a read at "c", which can't reach "a", returns 2 results
    When gossip goes on for 1.2 seconds
    Then reads at "a, c, b" return 2 results

  Scenario: No later read of a job has fewer results, whatever happens to its holders
    Then for any troubles of 3 gateways no read has fewer results than an earlier one

Feature: The hunt's checks of cold endpoints, evacuations, homes and the directory

  Scenario: Seeds from 1000 to 1999 draw the days that they drew before the newest kinds
    Then the days of seeds 1000 to 1999 have the digest "cd28a3b4422c9b89"

  Scenario: Seeds from 2000 to 2999 draw the days that they drew before cuts of chunks
    Then the days of seeds 2000 to 2999 have the digest "39ab31d18e77cf71"

  Scenario: Seeds from 2000 on have a newest kind of fault
    Then all days of seeds 2000 to 2399 have a newest kind of fault, each of them alone
    And some of them are beside each other newest, later and first kind but "PromptPartCrashes"

  # The bound of a rate of 8.5 is 17.75 requests in any second.
  Scenario Outline: The checks find a day that breaks a rule
    Given the records of a day that kept the rules
    When <change>
    Then the rule "<rule>" is broken, and no other

    Examples:
      | rule     | change                                                             |
      | FAILBACK | a cold runner gets 18 requests in one second                       |
      | FAILBACK | a cold runner gets 18 requests across the border of two seconds    |
      | FAILBACK | a cold runner gets 18 requests in one second while gateway 0 is suspended |
      | FAILBACK | a cold runner gets 18 requests in one second while gateway 0 is cut off |
      | FAILBACK | a cold runner gets 18 requests in one second while the store is away |
      | FAILBACK | a runner becomes cold and gets 18 requests in one second while gateway 0 has no store |
      | FAILBACK | a runner is back cold and gets 18 requests in one second while the store is away |
      | EVAC     | a request reaches an evacuated domain 5.1 s after its evacuation   |
      | EVAC     | a request reaches an evacuated domain 8 s after its evacuation, and the store was away from 6 to 9 s after it |
      | EVAC     | a request reaches an evacuated domain 14 s after its evacuation, and the store was away from 4 to 6 s after it |
      | EVAC     | a request reaches an evacuated domain 8 s after its evacuation, and gateway 0 was killed 4 s before it |
      | HOME     | the directory of homes in the west names the east to a caller in the east 3.1 s into the day |
      | HOME     | the directory of homes in the west names all to a caller in the west 2.9 s into the day |
      | HOME     | a request with homes in the west runs in the east                  |
      | HOME     | although gateway 0 is cut off, a request with homes in the west runs in the east |
      | HOME     | although the store is away, a request with homes in the west runs in the east |
      | HOME     | a request whose homes exclude each other runs                      |
      | HOME     | the directory of homes in the west names all to a caller in the east |
      | HOME     | the directory of homes in the west names all to a caller in the west |
      | HOME     | the directory of homes in the west names the east to a caller in the east |
      | DRAIN    | 4 directory answers name a gateway that was killed 6.1 s before    |

  Scenario Outline: The checks find no rule broken where none is
    Given the records of a day that kept the rules
    When <change>
    Then no rule is broken

    Examples:
      | change                                                             |
      | a cold runner gets 17 requests in one second                       |
      | a cold runner gets 17 requests in each of two seconds              |
      | a cold runner gets 18 requests in one second while the emulator stands still |
      | a runner becomes cold and gets 18 requests in one second while the store is away |
      | a request reaches an evacuated domain 4.9 s after its evacuation   |
      | a request reaches another domain 7 s after the evacuation          |
      | a request reaches an evacuated domain 7 s after its evacuation and 0.1 s after its end |
      | a request reaches an evacuated domain 7 s after its evacuation while gateway 0 is suspended |
      | a request reaches an evacuated domain 7 s after its evacuation while gateway 0 is cut off |
      | a request reaches an evacuated domain 7 s after its evacuation while the emulator stands still |
      | a request reaches an evacuated domain 8 s after its evacuation, and the store was away from 4 to 6 s after it |
      | a request reaches an evacuated domain 8 s after its evacuation, and gateway 0 was killed 2 s before it |
      | the directory of homes in the west names the east to a caller in the east 2.9 s into the day |
      | the directory of homes in the west names the east to a caller in the west 2.9 s into the day |
      | a request with homes in the west runs in the west                  |
      | the directory of homes in the west names the west to a caller in the east |
      | the directory of homes in the west names the west to a caller in the west |
      | the directory without homes names all to a caller in the east      |
      | the west is lost, and the directory of its homes names the east    |
      | 3 directory answers name a gateway that was killed 6.1 s before    |
      | 4 directory answers name a gateway that was killed 5.9 s before    |
      | 4 directory answers name a gateway that was killed 8 s before and has started since |
      | 4 directory answers name a gateway that was killed 8 s before while gateway 0 is suspended |

  Scenario: A day's figures tell the time from an evacuation to the last arrival
    Given the records of a day that kept the rules
    When a request reaches an evacuated domain 0.4 s after its evacuation
    Then no rule is broken
    And the time from the write to the last arrival is 0.5 s

  Scenario: A day's figures tell the late answers of the directory
    Given the records of a day that kept the rules
    When 3 directory answers name a gateway that was killed 6.1 s before
    Then 3 directory answers are late

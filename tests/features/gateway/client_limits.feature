Feature: Misbehaving clients hold no more memory than a gateway's budget

  # Each row guards against a gateway process that grows with the number of such
  # clients until its machine kills it. The memory of the gateways is set to 160 MB, of
  # which clients may make it hold half; counts and bounds were fixed before the budget
  # existed.
  Scenario Outline: <count> clients send <kind> to the <listener>
    Given 1 gateway with 160 MB of memory and 1 runner
    When <count> clients send <kind> to the <listener>
    Then the gateway's memory grew by less than 80 MB, and its descriptors by 2 for each client
    And the gateway answers an ordinary request and a readiness check

    Examples: requests of callers
      | count | kind                        | listener           |
      | 200   | bodies without their end    | data listener      |
      | 250   | heads of short fields       | data listener      |
      | 250   | unfinished heads            | data listener      |
      | 24    | jobs of short fields        | data listener      |
      | 200   | slow bodies                 | data listener      |
      | 200   | chunks without end          | data listener      |
      | 40    | chunk extensions            | data listener      |
      | 40    | trailers without end        | data listener      |
      | 24    | bodies over the limit       | data listener      |
      | 80    | pipelined requests          | data listener      |
      | 200   | bodies without their end    | path without route |

    Examples: other listeners
      | count | kind                        | listener           |
      | 200   | bodies without their end    | readiness listener |
      | 200   | bodies without their end    | directory listener |
      | 200   | bodies without their end    | metrics listener   |
      | 250   | heads of short fields       | readiness listener |
      | 80    | pipelined requests          | metrics listener   |

    Examples: mixes
      | count | kind                                             | listener      |
      | 160   | bodies without their end and pipelined requests  | data listener |
      | 100   | heads of short fields and slow bodies            | data listener |

  # Guards against a thread that reads all connections and is kept busy by some of them,
  # and against requests that wait behind thousands of others of one connection.
  Scenario Outline: Ordinary requests are answered while others send <kind>
    Given 1 gateway with 160 MB of memory and 1 runner
    When <count> clients send <kind> to the <listener> beside ordinary requests
    Then all ordinary requests were answered

    Examples:
      | count | kind                 | listener           |
      | 80    | pipelined requests   | data listener      |
      | 80    | pipelined requests   | path without route |
      | 40    | chunk extensions     | data listener      |
      | 40    | trailers without end | data listener      |

  # Guards against a budget that refuses what a single client may send.
  Scenario Outline: One <kind> within the limits is served
    Given 1 gateway with 160 MB of memory and 1 runner
    When one client sends a <kind>
    Then its response has the status <status>

    Examples:
      | kind                  | status |
      | body of 4 MB          | 200    |
      | body of 4 MB in drips | 200    |
      | head of 60 kB         | 200    |
      | job of 3.7 MB         | 202    |

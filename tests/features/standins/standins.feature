Feature: Fleets of stand-ins start concurrently and report why a start fails

  Scenario: Concurrently started fleets have no port in common
    When 40 fleets claim 20 ports each before any of them listens
    Then no port is allocated twice

  Scenario: A node that exits during startup is reported immediately
    When a fleet starts whose node settings have an unknown key
    Then the start fails within 15 s with the exit code and the unknown key

  Scenario: A link between two processes refuses, stalls, drops connections and heals
    Given a server behind a link that answers 1000 bytes to each line
    Then an answer over the link has 1000 bytes
    When the link stalls after 400 bytes of answers
    Then an answer over the link has 400 bytes and is not ended
    When the link is healed
    Then the rest of the answer comes, so that it has 1000 bytes
    When the link drops a connection after 400 bytes of answers
    Then an answer over the link has 400 bytes and is reset
    And an answer over the link has 1000 bytes
    When the link refuses
    Then an answer over the link has 0 bytes and is reset

  Scenario: A drop on a link spares connections with shorter answers
    Given a server behind a link that answers 1000 bytes to each line
    When the link drops a connection after 1500 bytes of answers
    Then an answer over the link has 1000 bytes
    And an answer over the link has 1000 bytes
    And an answer to 2 lines is reset within 1500 bytes

  Scenario: A write whose connection ends within its body is not stored
    Given a platform stand-in
    When connections end after 0 and after 5 bytes of a body of 10 bytes
    Then the stand-in stores none of these writes
    And a complete write is stored

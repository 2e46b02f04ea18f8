Feature: A response ends early as the kernel gives up its connection

  # The kernel reports the time-out once, and a regular end at the next read.
  Scenario: A stream without a length is complete though its connection timed out
    Given 1 gateway and 1 endpoint process whose responses end with the connection
    When a caller sends 200 kB to "/once/1" and the endpoint is suspended meanwhile
    Then the response is incomplete

  Scenario: A resumable stream without a length ends where its connection timed out
    Given 1 gateway and 2 endpoint processes whose responses end with the connection
    When a caller sends 200 kB to "/resume/1" and the endpoint is suspended meanwhile
    Then the response is 200, signed and complete with 12 events

  Scenario: A stream in chunks is complete though its connection timed out
    Given 1 gateway and 1 endpoint process whose responses are in chunks
    When a caller sends 200 kB to "/once/1" and the endpoint is suspended meanwhile
    Then the response is incomplete

Feature: No item of a job is sent long after the end of the job was acknowledged

  Scenario: A job is ended while another gateway adopts it
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" is cut off, and the end of the job becomes known while "b" adopts it
    Then no gateway but "a" starts an item of the job

  Scenario: A job is ended before the gateway that stores it gets the store's answer
    Given gateways "a, b", and "a" holds a job with 1 listed result
    When "a" stores another job, whose end becomes known before the store's answer
    Then no gateway starts an item of that job

  Scenario: The holder of an ended job is told though gossip does not name it yet
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" stores another job, and it is ended at "b" before any gossip
    Then no gateway starts an item of that job

  Scenario: Every holder of an ended job is told
    Given gateways "a, b, c", and "a" holds a job with 1 listed result
    When "a" is cut off until "b" holds the job as well, and it is ended at "c"
    Then no gateway starts an item of the job

Feature: Gateways release the memory of jobs that are done

  # Finished jobs were kept with all bodies until the process ended.
  Scenario: A gateway's memory grows by the bodies of each job that it ran
    Given 1 gateway and 2 runners
    When 40 jobs of 10 items of 300,000 bytes are run one after the other
    Then the gateway's resident memory is below 150 MB
    And the body of an item of the first job is returned
    And the results of the first job are returned

  Scenario Outline: A job that <how> is kept until the process ends
    Given a registry that holds a job of 2 items
    When the job <how>
    Then its bodies are released, and its results are held for 180 seconds
    And it is not held any more after 181 seconds

    Examples:
      | how                |
      | is listed in full  |
      | is ended           |

  Scenario: The bodies of a job are released while one of its items starts
    Given a registry that holds a job of 2 items
    When an item starts, and the job is listed in full
    Then the item still has its body
    When the item stops
    Then its bodies are released, and its results are held for 180 seconds

  Scenario: A job is released before the store says that it is done
    Given a registry that holds a job of 2 items
    When the job is listed in full, and the store does not answer
    Then it is still held after 181 seconds

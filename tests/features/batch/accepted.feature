Feature: Accepted jobs are durable, and resubmitting a job is idempotent

  Scenario: A job completes after the node that accepted it was killed
    Given a batch fleet of 2 nodes and 1 endpoints
    When node 0 accepts a job of 40 items under the idempotency key sheet-1 and is killed immediately
    And the client uploads the same items again and resubmits the job to node 1
    Then both responses have the same job id
    And the job ends as completed with 40 results, each item once
    When the client submits different items under the idempotency key sheet-1 to node 1
    Then the response is a conflict

  Scenario: Resubmitting a job while the platform loses responses creates no second job
    Given a batch platform that loses the responses to 3 writes
    When the same items are uploaded and submitted twice under one idempotency key
    Then the platform stores one job and one entry in the index of open jobs

  Scenario: Uploads and jobs are refused while the platform is down
    Given a batch platform that is down
    When an upload and a job submission are attempted
    Then both are refused as not run

  Scenario: Invalid lines of a file are reported with their numbers
    When a file with 400 invalid lines among valid ones and a duplicate custom_id is uploaded
    Then the refusal gives the count of invalid lines and the line numbers of the first ones
    And nothing of the file is stored on the platform

  Scenario: A large file is streamed in bounded memory
    When a file of 20000 items is uploaded and read back as a stream
    Then each line is returned once, in order, and peak memory is below 24 MB

Feature: Metrics of batch work have the names in the operators' table

  Scenario: Claims, segments, items and attempts are counted by their outcome
    Given a batch fleet of 1 nodes and 1 endpoints with its cache on a failing disk
    When a job of 30 items runs, 4 of them for an unknown model
    And every run ends with status 500 and a job of 2 items runs
    And the job has ended
    Then the collector reads these metrics of node 0
      | metric                            | outcome    | value |
      | sequoiaglade_batch_claims_total   | claimed    | 3     |
      | sequoiaglade_batch_segments_total | committed  | 3     |
      | sequoiaglade_batch_items_total    | completed  | 26    |
      | sequoiaglade_batch_items_total    | failed     | 6     |
      | sequoiaglade_batch_attempts_total | retried    | 4     |
    And its sequoiaglade_batch_cache_faults is above 0
    And every metric of the node is listed in the operators' table

Feature: The segment cache on disk is bounded and optional

  Scenario: The cache stays within its size and evicts the least recently used segment
    Given a segment cache of 10000 bytes
    When 20 segments of 1000 bytes are stored and the first is read after each
    Then the cache folder has at most 10000 bytes and still contains the first segment

  Scenario: A partially written or corrupted segment is not returned
    Given a segment cache of 10000 bytes
    When a segment is truncated, another corrupted, and a third left under its temporary name
    Then the cache returns none of them and removes them

  Scenario: Segments are read from the platform when the disk fails
    Given a segment cache of 10000 bytes
    Then all lines of a file are read with a vanished disk
    And all lines of a file are read with a full disk
    And all lines of a file are read with a slow disk

Feature: Open connections fall silent without a reset, and new ones work

  Scenario: The emulator's silent connections pass nothing and new ones do
    When a connection through a link falls silent
    Then it passes nothing in either direction and is not closed
    And a connection that is opened later passes data

  Scenario: Gateways know each other again after their connections fell silent
    Given 3 gateways and 2 slow runners whose connections can fall silent
    When a job of 200 items is submitted at gateway 0
    And a result is listed
    And all connections among "gateways" fall silent
    Then 5 seconds later every gateway lists the addresses of all gateways
    And within 3 seconds exactly one gateway holds the job

  Scenario: Results are not taken back after connections of gateways fell silent
    Given 3 gateways and 2 runners of 3 slots and 3 seconds an item, with links
    When a job of 60 items is submitted at gateway 0
    And a result is listed
    And all connections among "gateways" fall silent
    Then for 32 seconds no gateway returns fewer results than any did a second before

  Scenario: Jobs are accepted soon after connections to the store fell silent
    Given 2 gateways and 1 runner whose connections can fall silent
    When a job of 4 items is submitted at gateway 0
    And a result is listed
    And all connections among "store" fall silent
    Then within 5 seconds a job is accepted at every gateway
    And within 8 seconds all items are completed at every gateway

  Scenario: A resumable stream goes on after connections to runners fell silent
    Given 1 gateway and 2 slow runners whose connections can fall silent
    When connections to runners fall silent while a caller streams "/resume/1"
    Then the response has the events 1 to 12 within 5 seconds

  Scenario: A stream that may not be repeated ends after its connection fell silent
    Given 1 gateway and 2 slow runners whose connections can fall silent
    When connections to runners fall silent while a caller streams "/once/1"
    Then the response is incomplete
    And it ended within 6 seconds, and the runners received one request in total

  Scenario: Items of a job finish after connections to runners fell silent
    Given 2 gateways and 2 slow runners whose connections can fall silent
    When a job of 20 items is submitted at gateway 0
    And an item runs
    And all connections among "runners" fall silent
    Then within 15 seconds all items are completed at every gateway
    And no item is listed twice

  Scenario: A change of the configuration is read soon after watches fell silent
    Given 2 gateways and 1 runner whose connections can fall silent
    When all connections among "store" fall silent
    And the key "key-yard" is replaced by "key-new"
    Then within 7 seconds all gateways return 401 for "/safe/1" with key "key-yard"

  Scenario: A removed endpoint is known soon after watches fell silent
    Given 2 gateways and 1 runner whose connections can fall silent
    When all connections among "store" fall silent
    And the entry of runner 0 is removed
    Then within 7 seconds all gateways refuse "/safe/1" with 503
    And each gateway has renewed 3 watches

  # The watches of all gateways begin together after a change, so that a short silence of
  # the store can take them all.
  Scenario: A change of the configuration is read soon after its watches alone fell silent
    Given 2 gateways and 1 runner
    When the store loses the responses to watches of "config"
    And the key "key-yard" is replaced by "key-new"
    Then within 3 seconds all gateways return 401 for "/safe/1" with key "key-yard"
    And the metrics of each gateway tell the newest version of the configuration

  Scenario: A removed endpoint is known soon after its watches alone fell silent
    Given 2 gateways and 1 runner
    When the store loses the responses to watches of "servers"
    And the entry of runner 0 is removed
    Then within 5 seconds all gateways refuse "/safe/1" with 503

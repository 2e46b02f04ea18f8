Feature: Emulated runners are cold, and crash under too many requests meanwhile

  Scenario: A runner that is not cold takes any number of requests
    Given an emulated runner that crashes above 6 requests a second while cold
    When it gets 20 requests
    Then 20 of them were answered with 200

  Scenario: A cold runner withstands one and a half times its bound
    Given an emulated runner that crashes above 6 requests a second while cold
    When it becomes cold and gets 6 requests
    Then 6 of them were answered with 200
    And its entry says that it is cold, and 6 arrivals were recorded

  Scenario: A cold runner crashes above that, and is back cold under the same id
    Given an emulated runner that crashes above 6 requests a second while cold
    When it becomes cold and gets 8 requests
    Then 6 of them were answered with 200
    And 2 of them were answered with 0
    And it is back and cold before its new entry tells it
    And it answers requests again

  Scenario: Requests for another instance don't count
    Given an emulated runner that crashes above 6 requests a second while cold
    When it becomes cold and gets 3 requests
    And it gets 20 requests for another instance
    Then 20 of them were answered with 421
    And its entry says that it is cold, and 3 arrivals were recorded

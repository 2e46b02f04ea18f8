Feature: No batch item is sent by a configuration that has been replaced

  # A pass of the item runner sent up to 64 items by the configuration it began with.
  Scenario Outline: A route changes while items are placed slowly
    Given an item runner with slow placements, whose route <change> during the first one
    When a job of 40 items is held
    Then no item is sent later than 1000 ms after the change

    Examples:
      | change                   |
      | moves to another service |
      | is removed               |

  Scenario Outline: A route changes while an item waits for recent ends of jobs
    Given an item runner whose route <change> while an item waits for recent ends
    When a job of 3 items is held
    Then no item is sent later than 1000 ms after the change

    Examples:
      | change                   |
      | moves to another service |
      | is removed               |

  Scenario Outline: An endpoint leaves while an item waits for recent ends of jobs
    Given an item runner whose endpoint <change> while an item waits for recent ends
    When a job of 3 items is held
    Then no item is sent later than 1000 ms after the change

    Examples:
      | change                 |
      | announces its shutdown |
      | leaves the list        |

  # A job that was taken over between two versions kept no route for as long as it was held.
  Scenario: A route is missing while a job is taken over, and is back later
    Given an item runner whose route is limited, and a job that was taken over without it
    When 1 second passes
    Then its waiting tokens count for the route, and its items are due by the route

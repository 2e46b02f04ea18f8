Feature: Documents of the platform's store are read

  # The whole version was ignored.
  Scenario: A part of a split has no weight
    Given a configuration whose route is split between "old" without a weight and "new"
    When it is read
    Then all of 100 requests of the route go to "new"

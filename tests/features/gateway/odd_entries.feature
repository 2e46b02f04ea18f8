Feature: An entry of another writer does not disturb the gateways

  Scenario Outline: Gateways stop following the list at an entry with <odd>
    Given 2 gateways and 2 runners
    When another writer adds an entry with <odd>
    Then the gateways follow the list: a new runner gets requests, one that left gets none
    And no thread of the gateways failed
    When gateway 1 is killed and starts again
    Then 4 requests at gateway 1 are answered

    Examples:
      | odd                            |
      | 5000 nested lists              |
      | 5000 nested objects            |
      | a whole number of 5000 digits  |
      | a number beyond all floats     |
      | the port 70000                 |
      | a port of 30 digits            |
      | a port of other digits         |
      | a birth of 31 digits           |
      | slots of 31 digits             |
      | a lone surrogate as version    |
      | a list as zone                 |
      | no fields                      |

  Scenario Outline: A caller's <what> of "<value>" ends in an internal error
    Given 1 gateway and 1 runner
    When a caller sends the <what> "<value>"
    Then it gets no internal error
    And no thread of the gateways failed

    Examples:
      | what          | value  |
      | last event id | 1e999  |
      | last event id | nan    |
      | last event id | 1e300  |
      | position      | 1e999  |
      | position      | 1e30   |
      | deadline      | inf    |

  Scenario Outline: A job whose <part> is <value> ends in an internal error
    Given 1 gateway and 1 runner
    When a caller submits a job whose <part> is <value>
    Then it is rejected with 400
    And no thread of the gateways failed

    Examples:
      | part      | value                         |
      | items     | 5000 nested lists             |
      | tokens    | a number beyond all floats    |
      | tokens    | a whole number of 5000 digits |
      | tokens    | a birth of 31 digits          |
      | item id   | 5000 nested lists             |
      | item id   | a lone surrogate as version   |

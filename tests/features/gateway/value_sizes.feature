Feature: What is stored and answered is bounded in bytes

  # Pages were bounded in characters; the store refused each further write of such a page.
  Scenario Outline: Results of <count> characters of <text> are never listed
    Given 2 gateways and 2 runners whose items answer with <count> characters of <text>
    When a job of <items> items is submitted at gateway 0
    Then within 30 seconds all items are completed at every gateway, read in turns
    And each response with results had at most 1 MB
    And the store refused no write as too large

    Examples:
      | text               | count  | items |
      | Thai               | 3600   | 60    |
      | emoji              | 3600   | 60    |
      | control characters | 3600   | 60    |
      | quotes             | 3600   | 60    |
      | English            | 3600   | 60    |
      | Thai               | 150000 | 6     |
      | English            | 190000 | 6     |
      | English            | 900000 | 3     |
      | control characters | 120000 | 4     |

  # Without a closed page the next holder would add to one that a peer had left.
  Scenario: The holder of a job with closed pages is killed
    Given 2 gateways and 2 runners whose items answer with 150000 characters of Thai
    When a job of 12 items is submitted at gateway 0
    And gateway 0 is killed after 5 results
    Then within 30 seconds all items are completed at gateway 1, read in turns
    And the results read before the kill are the first ones
    And the store refused no write as too large

  # The store's refusal of the header was taken for a lost answer, and tried for 2.5 s.
  Scenario: A job whose items have more headers than a document holds is refused late
    Given 2 gateways and 1 runner
    When a job whose items have 1,200,000 bytes of headers is submitted at gateway 0
    Then it is refused with 413 within 1 second, and the answer names the bytes
    And the store refused no write as too large

  # 1,100 versions of 1,000 characters were one document.
  Scenario: A record of many versions is larger than a document
    Given 1 gateway and 2 runners of versions "v1, v2"
    When 1100 runners of versions of 1000 characters are listed
    Then a record of some versions is written, which stands 3 seconds later
    And the store refused no write as too large

Feature: Refused means not run, and nothing runs twice
  The judge is what the searchers themselves wrote down as they ran it.

  @not-run
  Scenario Outline: Refused as <reason> and not run
    Given a deployment
    When the situation is: <situation>
    And the caller sends a <kind> of <family>
    Then it is refused as <reason>
    And nothing of it was run

    Examples:
      | situation            | kind   | family             | reason         |
      | nothing special      | search | nowhere            | unknown-family |
      | nothing special      | search | letter-sender      | not-repeatable |
      | nothing special      | submit | certificate-lookup | repeatable     |
      | the ticket is wrong  | submit | letter-sender      | ticket-expired |
      | the ticket is late   | submit | letter-sender      | ticket-expired |
      | searchers are gone   | submit | letter-sender      | no-searcher    |
      | searchers shed       | submit | letter-sender      | shed           |
      | searchers drain      | submit | letter-sender      | shed           |
      | gathers are gone     | submit | letter-sender      | no-searcher    |
      | the limit is reached | search | certificate-lookup | overloaded     |
      | the limit is reached | submit | letter-sender      | overloaded     |

  @not-run
  Scenario: Of many searches in an overload, none that was refused was run
    Given a deployment whose searchers take 60 ms
    When 60 threads search with texts of their own for 2 s
    Then some were refused, each with when to come back
    And none of the refused ones was run

  @at-most-once
  Scenario Outline: Letters run at most once under <fault>
    Given a deployment whose searchers take 150 ms
    When letters are sent, and sent again to both entries, while: <fault>
    Then no letter was run twice
    And each accepted letter was run

    Examples:
      | fault                          |
      | no fault                       |
      | gathers killed                 |
      | gathers frozen                 |
      | gathers paused                 |
      | entry paused                   |
      | entry killed                   |
      | entry killed and started again |
      | letter searcher killed         |
      | letter searchers paused        |
      | cut before the run             |
      | cut within the run             |
      | cut after the run              |
      | letter searchers silent        |
      | letter searchers too slow      |
      | letter searchers shed half     |
      | gathers paused + entry paused  |
      | entry paused + entry paused    |
      | gathers killed + letter searcher killed |

  @at-most-once
  Scenario: A ticket serves one letter only
    Given a deployment
    When two letters are sent with one ticket
    Then the second is not run

Feature: Refused requests are not run, and non-repeatable requests run at most once
  The scenarios check the run logs that the searchers write. A letter is a request to
  the family letter-sender, which is not repeatable.

  @not-run
  Scenario Outline: Refused with reason <reason> and not run
    Given a deployment
    When the situation is: <situation>
    And the caller sends a <kind> of <family>
    Then it is refused with reason <reason>
    And no part of it was run

    Examples:
      | situation                        | kind   | family             | reason         |
      | normal operation                 | search | nowhere            | unknown-family |
      | normal operation                 | search | letter-sender      | not-repeatable |
      | normal operation                 | submit | certificate-lookup | repeatable     |
      | the ticket is invalid            | submit | letter-sender      | ticket-expired |
      | the ticket has expired           | submit | letter-sender      | ticket-expired |
      | letter searchers are killed      | submit | letter-sender      | no-searcher    |
      | letter searchers shed requests   | submit | letter-sender      | shed           |
      | letter searchers drain           | submit | letter-sender      | shed           |
      | gathers are killed               | submit | letter-sender      | no-searcher    |
      | the concurrency limit is reached | search | certificate-lookup | overloaded     |
      | the concurrency limit is reached | submit | letter-sender      | overloaded     |

  @not-run
  Scenario: Searches refused during an overload are not run
    Given a deployment whose searchers take 60 ms
    When 60 threads search with distinct queries for 2 s
    Then some were refused, each with Retry-After
    And none of the refused searches was run

  @at-most-once
  Scenario Outline: Letters run at most once under <fault>
    Given a deployment whose searchers take 150 ms
    When letters are sent and resent to both entries during: <fault>
    Then no letter was run twice
    And each accepted letter was run

    Examples:
      | fault                                        |
      | no fault                                     |
      | gathers killed                               |
      | gathers frozen                               |
      | gathers paused                               |
      | entry paused                                 |
      | entry killed                                 |
      | entry killed and restarted                   |
      | letter searcher killed                       |
      | letter searchers paused                      |
      | connection reset before the run              |
      | connection reset during the run              |
      | connection reset after the run               |
      | letter searchers unresponsive                |
      | letter searchers too slow                    |
      | letter searchers shed half of their requests |
      | gathers paused + entry paused                |
      | entry paused + entry paused                  |
      | gathers killed + letter searcher killed      |

  @at-most-once
  Scenario: A ticket is valid for one letter only
    Given a deployment
    When two letters are sent with one ticket
    Then the second is not run

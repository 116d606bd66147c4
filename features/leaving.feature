Feature: Leaving and stopping
  An upstream that leaves gets no new work after 3 s, whichever signal announces it.
  "The list" is the published list of hosts, which also names leaving searchers.
  A graceful shutdown of entries and gathers drops no request.

  @leaving
  Scenario Outline: No new work for a searcher when <signal>
    Given a deployment under load
    When a searcher leaves: <signal>
    And 3 s pass
    Then the searcher gets no work for 1.5 s
    And every answer is consistent
    And answers are complete at the end

    Examples:
      | signal                                                |
      | it refuses work and reports that it drains            |
      | it keeps serving and reports that it drains           |
      | only the list says so                                 |
      | it drains while its health endpoint lags              |
      | the list says so, then the platform is lost           |
      | the list no longer says so while it drains            |
      | the list alternates and ends with leaving             |
      | it refuses connections                                |
      | it reports that it drains, then gathers are restarted |

  @shutdown
  Scenario Outline: SIGTERM to <processes>, <times> times
    Given a deployment with a drain bound of 10s
    And a load on searchers that take 150 ms
    When SIGTERM is sent <times> times to <processes>, and the load balancer reacts after 0.3 s
    Then <processes> end with exit code 0
    And no request was dropped
    And every answer is consistent
    And each answer is complete

    Examples:
      | processes                    | times |
      | host-2-entry                 | 1     |
      | host-2-entry                 | 2     |
      | host-2-gather-0              | 1     |
      | host-2-gather-0              | 2     |
      | host-2-entry host-2-gather-0 | 1     |

  @shutdown
  Scenario: A letter in flight is completed during the shutdown of its entry
    Given a deployment with a drain bound of 5s
    When a letter is in flight for 1.5 s and its entry and gather get SIGTERM
    Then the letter is accepted

  @shutdown
  Scenario: A drain that reaches its bound ends with exit code 5
    Given a deployment with a drain bound of 500ms
    When a letter is in flight for 3 s and its entry gets SIGTERM
    Then the entry ends within 3 s with exit code 5
    And the letter's outcome is unknown

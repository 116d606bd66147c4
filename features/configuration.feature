Feature: Rules take effect in every process and stay in effect

  @configuration
  Scenario Outline: A new rule is in force in each process within 3 s, with <fault>
    Given a deployment of 3 hosts
    When the fault happens: <fault>
    And a new rule is published
    Then it is in force in each process within 3 s

    Examples:
      | fault         |
      | no fault      |
      | platform slow |
      | gather killed |
      | gather paused |

  @configuration
  Scenario: An invalid file is rejected with its position, and the next file is accepted
    Given a deployment
    When an invalid file is published
    And 1.5 s pass
    Then the rules in force have not changed
    And each process logs line, column and expected value
    When a new rule is published
    Then it is in force in each process within 3 s

  @configuration
  Scenario: Two operators publish concurrently
    Given a deployment of 3 hosts
    When 2 operators publish 5 files each concurrently
    Then each process has the same rules within 3 s

  @configuration
  Scenario Outline: The revision in force never decreases when <fault>
    Given a deployment
    When a new rule is published
    Then it is in force in each process within 3 s
    When the fault happens: <fault>
    And each process is restarted in turn
    Then no process ever had an older revision

    Examples:
      | fault           |
      | no fault        |
      | platform stale  |
      | platform down   |
      | platform killed |

  @configuration
  Scenario: A process is frozen during three revisions
    Given a deployment
    When host-1-entry is frozen while 3 rules are published
    Then it is in force in each process within 3 s

  @configuration
  Scenario: An entry that resumes serves with the newest rules only
    Given a deployment of 1 hosts
    When host-1 is frozen and misses that the family becomes non-repeatable
    Then its first answer after resuming is a refusal as not-repeatable

  @configuration
  Scenario: The fleet is partitioned and recovers
    Given a deployment in two network segments
    When the segments are disconnected
    And a new rule is published in the first segment
    Then the first segment has it in force within 3 s
    And both segments serve complete answers within 3 s
    When the segments are reconnected
    Then it is in force in each process within 3 s

  @configuration
  Scenario: One million bytes of rules, and a change of every rule
    Given a deployment of 3 hosts
    When one million bytes of rules are published
    Then it is in force in each process within 3 s
    When all of these rules are changed at once
    Then it is in force in each process within 3 s

  @configuration
  Scenario: The platform is unavailable for the whole run
    Given a deployment under load
    When the fault happens: platform killed
    And 3 s pass
    Then every answer is consistent
    And answers are complete at the end

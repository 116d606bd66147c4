Feature: Rules take hold everywhere and stay held

  @configuration
  Scenario Outline: A rule in force in each process within 3 s, with <fault>
    Given a deployment of 3 hosts
    When the fault happens: <fault>
    And a new rule is handed over
    Then it is in force in each process within 3 s

    Examples:
      | fault         |
      | no fault      |
      | platform slow |
      | gather killed |
      | gather paused |

  @configuration
  Scenario: An invalid file is refused with its place, and the next one counts
    Given a deployment
    When an invalid file is handed over
    And 1.5 s pass
    Then the rules in force have not changed
    And each process logs line, column and what was expected
    When a new rule is handed over
    Then it is in force in each process within 3 s

  @configuration
  Scenario: Two operators hand over at once
    Given a deployment of 3 hosts
    When 2 operators hand over 5 files each at once
    Then each process has the same rules within 3 s

  @configuration
  Scenario Outline: A revision in force never falls when <fault>
    Given a deployment
    When a new rule is handed over
    Then it is in force in each process within 3 s
    When the fault happens: <fault>
    And each process is replaced, one after the other
    Then no process ever had an older revision

    Examples:
      | fault           |
      | no fault        |
      | platform stale  |
      | platform down   |
      | platform killed |

  @configuration
  Scenario: A process frozen over three revisions
    Given a deployment
    When host-1-entry is frozen while 3 rules are handed over
    Then it is in force in each process within 3 s

  @configuration
  Scenario: An entry that wakes up serves under the newest rules only
    Given a deployment of 1 hosts
    When host-1 is frozen while the family becomes not repeatable, and none tells it
    Then its first answer after waking is a refusal as not-repeatable

  @configuration
  Scenario: The fleet is split in two and heals
    Given a deployment in two parts
    When the parts are split
    And a new rule is handed over to the first part
    Then the first part has it within 3 s
    And both parts serve whole answers within 3 s
    When the split heals
    Then it is in force in each process within 3 s

  @configuration
  Scenario: A million bytes of rules, and a release that changes every rule
    Given a deployment of 3 hosts
    When a million bytes of rules are handed over
    Then it is in force in each process within 3 s
    When every rule of them is changed at once
    Then it is in force in each process within 3 s

  @configuration
  Scenario: The platform is out for the whole run
    Given a deployment under load
    When the fault happens: platform killed
    And 3 s pass
    Then every answer is truthful
    And answers are complete at the end

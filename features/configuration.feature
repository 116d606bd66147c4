Feature: Rules take effect in every process and stay in effect

  @configuration
  Scenario Outline: A new rule is in force in each process within 3 s, with <fault>
    Given a deployment of 3 hosts
    When the fault happens: <fault>
    And a new rule is published
    Then the last published rules are in force in each process within 3 s

    Examples:
      | fault         |
      | no fault      |
      | platform slow |
      | gather killed |
      | gather paused |

  @configuration
  Scenario: An invalid rules file is rejected with its position, and the next one is accepted
    Given a deployment
    When an invalid rules file is published
    And 1.5 s pass
    Then the rules in force have not changed
    And each process logs the line, the column and the expected value
    When a new rule is published
    Then the last published rules are in force in each process within 3 s

  @configuration
  Scenario: Two operators publish rules concurrently
    Given a deployment of 3 hosts
    When 2 operators each publish 5 rules files concurrently
    Then each process has the same rules within 3 s

  @configuration
  Scenario Outline: The revision in force never decreases, with <fault>
    Given a deployment
    When a new rule is published
    Then the last published rules are in force in each process within 3 s
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
  Scenario: A process that was frozen during three publications catches up
    Given a deployment
    When host-1-entry is frozen while 3 revisions of the rules are published
    Then the last published rules are in force in each process within 3 s

  @configuration
  Scenario: An entry that resumes serves with the newest rules only
    Given a deployment of 1 hosts
    When host-1 is frozen while a rule makes the family non-repeatable
    Then its first answer after resuming is a refusal with reason not-repeatable

  @configuration
  Scenario: A network partition divides the hosts and ends
    Given a deployment in two network segments
    When the segments are disconnected
    And a new rule is published in the first segment
    Then the last published rules are in force in the first segment within 3 s
    And both segments serve complete answers within 3 s
    When the segments are reconnected
    Then the last published rules are in force in each process within 3 s

  @configuration
  Scenario: One million bytes of rules are published, then every rule is changed
    Given a deployment of 3 hosts
    When one million bytes of rules are published
    Then the last published rules are in force in each process within 3 s
    When all of these rules are changed at once
    Then the last published rules are in force in each process within 3 s

  @configuration
  Scenario: The platform is killed and does not come back
    Given a deployment under load
    When the fault happens: platform killed
    And 3 s pass
    Then every answer is consistent
    And answers are complete at the end

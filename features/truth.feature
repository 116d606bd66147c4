Feature: Every answer comes from one snapshot, reports its coverage and matches the request
  Each answer under load is checked against the searchers' data: it has one
  index version, one shard map, a hit from each included shard and from no
  other, and the text that this caller searched for.

  @snapshot
  Scenario Outline: Answers come from one snapshot under <fault>
    Given a deployment under load
    When the fault happens: <fault>
    And <seconds> s pass
    Then every answer is consistent
    And answers are <after> at the end

    Examples:
      | fault                                                     | seconds | after    |
      | no fault                                                  | 0.5     | complete |
      | new version published                                     | 0.7     | complete |
      | new version published + shards repartitioned              | 0.7     | complete |
      | searcher a version behind                                 | 1.0     | complete |
      | searcher a version behind + second searcher killed        | 1.0     | partial  |
      | old version removed                                       | 1.0     | complete |
      | searcher answers another version                          | 1.0     | complete |
      | searcher answers another version + second searcher killed | 1.0     | partial  |
      | new version published + gather killed                     | 1.5     | complete |
      | platform stale + new version published                    | 1.0     | complete |

  @coverage
  Scenario Outline: Coverage is accurate under <fault>
    Given a deployment under load
    When the fault happens: <fault>
    And <seconds> s pass
    Then every answer is consistent
    And answers are <after> at the end

    Examples:
      | fault                               | seconds | after    |
      | searcher killed                     | 1.0     | complete |
      | shard killed                        | 1.0     | partial  |
      | straggling searcher                 | 1.5     | complete |
      | straggling shard                    | 1.5     | partial  |
      | searcher sheds half of its requests | 1.0     | complete |
      | gather killed                       | 1.5     | complete |
      | gather frozen                       | 2.0     | complete |
      | gather killed + searcher killed     | 1.5     | complete |
      | gather killed + shard killed        | 1.5     | partial  |
      | connections reset                   | 1.5     | complete |
      | platform killed + gather killed     | 1.5     | complete |

  @own-answer
  Scenario Outline: Answers match their requests under <fault>
    Given a deployment under load
    When the fault happens: <fault>
    And <seconds> s pass
    Then every answer is consistent
    And answers are <after> at the end

    Examples:
      | fault                                               | seconds | after       |
      | answers sent twice                                  | 1.0     | of any kind |
      | answers of previous requests                        | 1.0     | of any kind |
      | straggling searcher + answers sent twice            | 1.5     | of any kind |
      | gather paused                                       | 1.5     | complete    |
      | entry paused                                        | 1.5     | complete    |
      | searcher paused                                     | 2.0     | complete    |
      | searcher paused + searcher paused                   | 2.0     | complete    |
      | connections unresponsive                            | 2.0     | complete    |
      | connections unresponsive + connections unresponsive | 2.0     | complete    |
      | gather paused + connections unresponsive            | 2.0     | complete    |

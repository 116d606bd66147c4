Feature: Every answer is from one snapshot, whole, true and the caller's own
  The judge checks each answer of a load against what the searchers hold:
  one version, one shard map, a hit from each included shard and no other,
  and the text that this caller asked for.

  @snapshot
  Scenario Outline: Snapshot under <fault>
    Given a deployment under load
    When the fault happens: <fault>
    And <seconds> s pass
    Then every answer is truthful
    And answers are <after> at the end

    Examples:
      | fault                                                 | seconds | after    |
      | no fault                                              | 0.5     | complete |
      | new version published                                 | 0.7     | complete |
      | new version published + shards repartitioned          | 0.7     | complete |
      | searcher a version behind                             | 1.0     | complete |
      | searcher a version behind + second searcher killed    | 1.0     | partial  |
      | old version gone                                      | 1.0     | complete |
      | searcher answers another version                      | 1.0     | complete |
      | searcher answers another version + second searcher killed | 1.0 | partial  |
      | new version published + gather killed                 | 1.5     | complete |
      | platform stale + new version published                | 1.0     | complete |

  @coverage
  Scenario Outline: Coverage under <fault>
    Given a deployment under load
    When the fault happens: <fault>
    And <seconds> s pass
    Then every answer is truthful
    And answers are <after> at the end

    Examples:
      | fault                                   | seconds | after    |
      | searcher killed                         | 1.0     | complete |
      | shard killed                            | 1.0     | partial  |
      | straggling searcher                     | 1.5     | complete |
      | straggling shard                        | 1.5     | partial  |
      | searcher sheds half                     | 1.0     | complete |
      | gather killed                           | 1.5     | complete |
      | gather frozen                           | 2.0     | complete |
      | gather killed + searcher killed         | 1.5     | complete |
      | gather killed + shard killed            | 1.5     | partial  |
      | connections cut                         | 1.5     | complete |
      | platform killed + gather killed         | 1.5     | complete |

  @own-answer
  Scenario Outline: Own answer under <fault>
    Given a deployment under load
    When the fault happens: <fault>
    And <seconds> s pass
    Then every answer is truthful
    And answers are <after> at the end

    Examples:
      | fault                               | seconds | after    |
      | answers sent twice                  | 1.0     | any      |
      | answers crossed                     | 1.0     | any      |
      | straggling searcher + answers sent twice | 1.5 | any      |
      | gather paused                       | 1.5     | complete |
      | entry paused                        | 1.5     | complete |
      | searcher paused                     | 2.0     | complete |
      | searcher paused + searcher paused   | 2.0     | complete |
      | connections silent                  | 2.0     | complete |
      | connections silent + connections silent | 2.0 | complete |
      | gather paused + connections silent  | 2.0     | complete |

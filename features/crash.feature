Feature: A request that crashes each searcher that runs it
  It is refused in the whole fleet after at most two separate losses, and
  innocents that were in flight are not condemned.

  @quarantine
  Scenario Outline: The request is sent again and again, every <gap> s
    Given a deployment of 3 hosts and 4 shards, under load
    When a crashing request is sent 8 times through all entries, every <gap> s
    Then at most <lost> searchers are lost
    And its last answer is a refusal as quarantined, with when to come back
    And every answer is truthful
    And no innocent was quarantined

    Examples:
      | gap | lost |
      | 0.1 | 6    |
      | 1.2 | 5    |

  @quarantine
  Scenario: A rack of searchers is lost under load
    Given a deployment of 3 hosts and 4 shards, under load
    When one searcher of each shard is killed, 0.1 s apart
    And 2 s pass
    Then every answer is truthful
    And no innocent was quarantined
    And answers are complete at the end

Feature: A request that crashes each searcher that runs it
  Each entry refuses the request after at most two separate losses of searchers, and
  other requests that were in flight with it are not quarantined.

  @quarantine
  Scenario Outline: The request is sent repeatedly, every <gap> s
    Given a deployment of 3 hosts and 4 shards, under load
    When a crashing request is sent 8 times through all entries, every <gap> s
    Then at most <lost> searchers are lost
    And its last answer is a refusal with reason quarantined and Retry-After
    And every answer is consistent
    And no other request was quarantined

    Examples:
      | gap | lost |
      | 0.1 | 6    |
      | 1.2 | 5    |

  @quarantine
  Scenario: One searcher of each shard is lost under load
    Given a deployment of 3 hosts and 4 shards, under load
    When one searcher of each shard is killed, 0.1 s apart
    And 2 s pass
    Then every answer is consistent
    And no other request was quarantined
    And answers are complete at the end

Feature: The whole path
  A caller's request goes through entry, gathers and searchers and back.

  Scenario: A search over all shards
    Given a deployment
    When a caller searches for "climber 1"
    Then the answer is complete with 2 hits

  Scenario Outline: Wrong input is refused with field, value and what is allowed
    Given a deployment
    When a caller posts <body> to <path>
    Then the reply has status <status> and names <field>

    Examples:
      | body                               | path                                    | status | field       |
      | {"query": ""}                      | /v1/families/certificate-lookup/search  | 400    | query       |
      | {"query": 7}                       | /v1/families/certificate-lookup/search  | 400    | query       |
      | {"query": "x", "deadline_ms": 0}   | /v1/families/certificate-lookup/search  | 400    | deadline_ms |
      | garbage                            | /v1/families/certificate-lookup/search  | 400    | body        |
      | {"ticket": "t", "key": "", "content": "c"} | /v1/families/letter-sender/submit | 400  | key         |
      | {"query": "x"}                     | /v1/families/Unknown/search             | 404    | path        |
      | {"query": "x"}                     | /v1/families/unknown/search             | 404    | unknown-family |

  Scenario Outline: A bad caller hurts nobody else: <caller>
    Given a deployment under load
    When <count> bad callers come: <caller>
    And 1 s pass
    Then a bad caller gets <status>
    And every answer is truthful
    And each answer is complete
    And the slowest answer took at most 500 ms

    Examples:
      | caller                       | count | status  |
      | garbage bytes                | 20    | 400     |
      | an over-long body            | 20    | 413     |
      | an over-long header          | 20    | 413     |
      | a header that never ends     | 20    | nothing |
      | a body that never comes      | 20    | nothing |
      | a connection that is dropped | 20    | nothing |

Feature: The whole request path
  A caller's request passes through entry, gathers and searchers and back.

  Scenario: A search over all shards
    Given a deployment
    When a caller searches for "climber 1"
    Then the answer is complete with 2 hits

  Scenario Outline: Invalid input is rejected with field, value and allowed values
    Given a deployment
    When a caller posts <body> to <path>
    Then the reply has status <status> and names <field>

    Examples:
      | body                                       | path                                   | status | field          |
      | {"query": ""}                              | /v1/families/certificate-lookup/search | 400    | query          |
      | {"query": 7}                               | /v1/families/certificate-lookup/search | 400    | query          |
      | {"query": "x", "deadline_ms": 0}           | /v1/families/certificate-lookup/search | 400    | deadline_ms    |
      | garbage                                    | /v1/families/certificate-lookup/search | 400    | body           |
      | {"ticket": "t", "key": "", "content": "c"} | /v1/families/letter-sender/submit      | 400    | key            |
      | {"query": "x"}                             | /v1/families/Unknown/search            | 404    | path           |
      | {"query": "x"}                             | /v1/families/unknown/search            | 404    | unknown-family |

  Scenario Outline: Malformed input does not affect other callers: <malformed_input>
    Given a deployment under load
    When <count> callers send malformed input: <malformed_input>
    And 1 s pass
    Then one of these callers receives <status>
    And every answer is consistent
    And each answer is complete
    And the slowest answer took at most 500 ms

    Examples:
      | malformed_input      | count | status  |
      | invalid bytes        | 20    | 400     |
      | an oversized body    | 20    | 413     |
      | an oversized header  | 20    | 413     |
      | an incomplete header | 20    | nothing |
      | a missing body       | 20    | nothing |
      | a dropped connection | 20    | nothing |

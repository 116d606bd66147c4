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

@document
Feature: Operators' document
  Guards against documents that are accepted although a proxy cannot serve them.

  Scenario: The example of the design page compiles
    Given the example document
    Then the document compiles
    And the document compiles to the stored snapshot
    And every reference of the compiled document is resolved and frozen

  Scenario: The hash covers the meaning only
    Guards against two hashes for one meaning, which would report a false 1204.
    Given the example document
    Then the document hash ignores comments, order and units
    And the document hash changes with each changed value

  Scenario Outline: A refused document names its code and line
    Given the example document
    When the document text "<old>" becomes "<new>"
    Then the document is refused with code <code> at line <line>

    Examples:
      | old                 | new                    | code | line |
      | [policy]            | [policy                | 1101 | 2    |
      | strictness =        | strict =               | 1103 | 3    |
      | timeout = "2s"      | timeoutt = "2s"        | 1103 | 26   |
      | idempotent = true   | __proto__ = {}         | 1103 | 25   |
      | "careful"           | "brave"                | 1104 | 3    |
      | 2026-12-04T12:00:00Z | "noon"                | 1104 | 34   |
      | 2026-12-04T12:00:00Z | 2026-12-04T12:00:00   | 1104 | 34   |
      | "2s"                | "2 s"                  | 1105 | 26   |
      | "2s"                | "2"                    | 1105 | 26   |
      | "2s"                | "0s"                   | 1105 | 26   |
      | to = "v2"           | # nothing              | 1106 | 29   |
      | service = "redelivery" # route | service = "lost" | 1107 | 21 |
      | service = "redelivery" # move  | service = "lost" | 1107 | 31 |
      | to = "v2"           | to = "v3"              | 1108 | 32   |
      | current = "v1"      | current = "v9"         | 1108 | 18   |
      | # second move       | [[moves]]\nid = "b"\nservice = "redelivery"\nto = "v2"\ndeadline = 2026-12-05T00:00:00Z | 1109 | 37 |
      | # second move       | [[moves]]\nid = "redelivery-v2"\nservice = "redelivery"\nto = "v2"\ndeadline = 2026-12-05T00:00:00Z | 1110 | 36 |
      | "records"           | "lessor"               | 1110 | 7    |
      | "records"           | "other"                | 1110 | 7    |
      | 2026-12-04T12:00:00Z | 2026-12-04T10:00:00Z  | 1112 | 34   |
      | to = "v2"           | to = "v1"              | 1113 | 32   |

  Scenario: A document over the limit is refused
    Then a document of 1000001 bytes is refused with code 1102
    And a document of 1000000 bytes compiles

  Scenario: A deadline in the past is refused at acceptance only
    Given the example document
    Then the document compiles
    And the document deadline check at "2026-12-04T12:00:00Z" refuses code 1111 at line 34
    And the document deadline check at "2026-12-04T11:59:59Z" passes

  Scenario: The difference of two documents is readable
    Given the example document
    Then the document diff to its edited form matches the stored snapshot

  Scenario: The most specific route wins
    Guards against an index that disagrees with the order of the routes.
    Then the document route index agrees with a linear search on random routes
    And the document route prefix matches whole path segments

  Scenario: A delta yields exactly the target text
    Guards against a node that serves a text nobody accepted.
    Then the document delta of random texts yields the target text
    And the document delta is refused for another base with code 1114
    And the document delta is refused when its steps are damaged with code 1115

@hosted
Feature: Records come from peers of the own data centre
  Guards against documents of which each node takes a copy from any data centre, so
  that two thirds of the copies cross between them.

  Scenario Outline: Records of a fleet seldom cross between data centres: <followed>
    Given 75 nodes in 3 data centres, of which 4 in each of <followed> follow the store
    When the store brings the followers 10 revisions, one each 300 ms
    Then each node held each revision or a newer one within 1500 ms
    And at most 10% of the records that peers gave came from another data centre

    Examples:
      | followed  |
      | "a, b, c" |
      | "a, b"    |

  Scenario: In a small data centre each node is told of a change by each other one
    Given 5 nodes in 1 data centres, of which 1 in each of "a" follow the store
    When the store brings the followers 1 revisions, one each 100 ms
    Then each node of that fleet told each other one

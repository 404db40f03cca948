@hosted
Feature: Nodes pull records from peers in the same data centre
  Guards against nodes that pull documents from any data centre: with three data
  centres, two thirds of the copies would then cross between them.

  Scenario Outline: Few records cross between data centres: <watched>
    Given 75 nodes in 3 data centres, of which 4 in each of <watched> watch the store
    When the store sends the watchers 10 revisions, one every 300 ms
    Then each node holds each revision or a newer one within 1500 ms
    And at most 10% of the pulled records come from another data centre

    Examples:
      | watched   |
      | "a, b, c" |
      | "a, b"    |

  Scenario: In a small data centre each node announces a change to every other node
    Given 5 nodes in 1 data centres, of which 1 in each of "a" watch the store
    When the store sends the watchers 1 revisions, one every 100 ms
    Then each node of the fleet announces the change to every other node

@hosted
Feature: Nodes that follow the store
  Guards against a fleet in which each node takes each version of a large document
  over its own link, and against one in which nobody follows the store.

  Scenario Outline: A few nodes of a data centre follow the store: <nodes>
    Given <nodes> nodes of a data centre that decide who follows the store
    Then after 6000 ms <followers> nodes follow the store

    Examples:
      | nodes | followers |
      | 1     | 1         |
      | 3     | 3         |
      | 25    | 4         |

  Scenario Outline: Followers that are lost are replaced: <lost>
    Given 25 nodes of a data centre that decide who follows the store
    When after 6000 ms <lost> followers end
    Then after 1500 ms at least 4 nodes follow the store
    And after 6000 ms 4 nodes follow the store

    Examples:
      | lost |
      | 1    |
      | 4    |

@hosted
Feature: Nodes that watch the store
  Guards against a fleet in which every node receives each version of a large
  document from the store, and against a fleet in which no node watches the store.

  Scenario Outline: A few nodes of a data centre watch the store: <nodes>
    Given <nodes> nodes of a data centre that decide which of them watch the store
    Then after 6000 ms <watchers> nodes watch the store

    Examples:
      | nodes | watchers |
      | 1     | 1        |
      | 3     | 3        |
      | 25    | 4        |

  Scenario Outline: Other nodes replace watchers that stop: <lost>
    Given 25 nodes of a data centre that decide which of them watch the store
    When after 6000 ms <lost> watchers stop
    Then after 1500 ms at least 4 nodes watch the store
    And after 6000 ms 4 nodes watch the store

    Examples:
      | lost |
      | 1    |
      | 4    |

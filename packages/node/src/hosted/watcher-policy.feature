@hosted
Feature: Nodes that watch the store
  Guards against a fleet in which every node receives each version of a large
  document from the store, and against a fleet in which no node watches the store.

  Scenario Outline: A few nodes of a data centre watch the store: <nodes>
    Given <nodes> nodes of a data centre that decide which of them watch the store
    Then 6000 ms later <watchers> nodes watch the store

    Examples:
      | nodes | watchers |
      | 1     | 1        |
      | 3     | 3        |
      | 25    | 4        |

  Scenario Outline: Other nodes start to watch the store when watching nodes end: <lost>
    Given 25 nodes of a data centre that decide which of them watch the store
    When 6000 ms pass and <lost> of the nodes that watch the store end
    Then 1500 ms later at least 4 nodes watch the store
    And another 6000 ms later 4 nodes watch the store

    Examples:
      | lost |
      | 1    |
      | 4    |

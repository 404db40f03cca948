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
      | 3     | 2        |
      | 25    | 2        |
      | 260   | 2        |

  Scenario Outline: Other nodes start to watch the store when watching nodes end: <lost>
    Given 25 nodes of a data centre that decide which of them watch the store
    When 6000 ms pass and <lost> of the nodes that watch the store end
    Then 1500 ms later at least 2 nodes watch the store
    And another 6000 ms later 2 nodes watch the store

    Examples:
      | lost |
      | 1    |
      | 2    |

  Scenario: Of nodes that start together one checks its connection to the store
    Given 25 nodes of a data centre that decide which of them watch the store
    Then 6000 ms later 1 nodes have checked their connection to the store

  Scenario: The next node checks its connection to the store when the first one ends
    Given 25 nodes of a data centre that decide which of them watch the store
    When 6000 ms pass and 1 of the nodes that watch the store end
    Then 2000 ms later 2 nodes have checked their connection to the store

  Scenario: Nodes that cannot reach the store are passed over
    Given 25 nodes of a data centre that decide which of them watch the store
    When 6000 ms pass and the store refuses the first 4 of the nodes
    Then 1500 ms later at least 2 nodes that reach the store watch it

  Scenario: Few of many nodes call a store that is down
    Given 40 nodes of a data centre that decide which of them watch the store
    When 6000 ms pass and the store refuses the first 40 of the nodes
    Then 4000 ms later at most 14 nodes call the store

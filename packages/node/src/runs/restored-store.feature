@runs @claims
Feature: Claims over a restored store
  A store that returns to an older state lacks the claims since its copy, even
  if the configuration did not change since then.

  Scenario: a restored store grants no key again until an operator confirms it
    Given restored store nodes that have run 12 keys since a copy of the store
    When the store is restored and three restored store nodes are replaced
    Then each restored store node refuses keys with 1708 as not run or replays them
    And after an operator confirmed the restored store every node runs new keys

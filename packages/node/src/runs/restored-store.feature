@runs @claims
Feature: Claims over a restored store
  A store that is restored from a backup lacks the claims made since the backup,
  even if the configuration has not changed since then. Without a check, a key
  whose claim is lost would run a second time.

  Scenario: a restored store grants no key again until an operator confirms it
    Given restored store nodes that have run 12 keys since a backup of the store
    When the store is restored and three restored store nodes are replaced
    Then each restored store node refuses keys with 1708 as not run or replays them
    And after an operator confirms the restored store every node runs new keys

@membership
Feature: Rules of the member table and the upstream monitor

  Scenario: membership merges records in any order to one result
    Then membership tables agree after 200 random orders of the same records
    And membership serves at most 4 tables in any second
    And membership ignores a stale death and accepts a refutation
    And membership revokes a death after 60 s by a record of the same key
    And membership equalises two tables by one exchange of digests
    And membership replaces a predecessor at the same address
    And membership lets a process with a slow clock keep its address
    And membership remembers at most 50 dead members of 1000
    And membership keeps each record through its compact form

  Scenario: membership carries the configuration on probes
    Given a membership cluster of 6 nodes
    Then membership reports version 7 with hash "00000000000000ab" to all peers

  Scenario: membership follows the announcements of the upstream
    Then membership monitor shows these states
      | at    | announced | state    |
      | 0     | cold      | cold     |
      | 1000  | ready     | ready    |
      | 2000  | leaving   | draining |
      | 2100  | ready     | draining |
      | 5000  | ready     | ready    |
      | 7900  |           | ready    |
      | 8000  |           | down     |
      | 9000  | ready     | ready    |
    And membership monitor refuses malformed announcements with 1501

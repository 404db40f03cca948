@membership
Feature: Member table and upstream monitor

  Scenario: membership tables do not depend on the order of records
    Then membership tables are equal after 200 random orders of the same records
    And membership serves at most 4 tables in any second
    And membership ignores a stale suspicion and record but accepts a refutation
    And membership revives a dead member after 60 s by a record with the same key
    And membership synchronizes two tables by digest exchanges
    And membership replaces the former process at the same address
    And membership lets a process with a slow clock keep its address
    And membership keeps at most 50 dead members of 1000
    And membership restores each encoded record unchanged

  Scenario: membership probes carry the configuration version
    Given a membership cluster of 6 nodes
    Then membership reports version 7 with hash "00000000000000ab" to all peers

  Scenario: membership tracks the upstream by its announcements
    Then membership monitor reports these upstream states
      | at    | announced | state    |
      | 0     | cold      | cold     |
      | 1000  | ready     | ready    |
      | 2000  | leaving   | draining |
      | 2100  | ready     | draining |
      | 5000  | ready     | ready    |
      | 7900  |           | ready    |
      | 8000  |           | down     |
      | 9000  | ready     | ready    |
    And membership monitor rejects malformed announcements with error 1501

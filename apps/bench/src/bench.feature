@bench
Feature: Bounds and capacity figures of the bench

  Scenario: A broken bound fails the run
    Given bench rows with an added p99 of 0.5, 0.69 and 0.7 ms
    Then bench bounds hold for 2 rows and are broken for 1

  Scenario: A figure that is not a number breaks its bound
    Given bench rows with an added p99 of NaN, 0.1 and 0.2 ms
    Then bench bounds hold for 2 rows and are broken for 1

  Scenario: A bound ignores rows of other settings
    Given a bench row at 600 calls a second with an added p99 of 50 ms
    Then bench bounds check no row

  Scenario: A slope is carried to the full size
    Given bench results with 100 bytes at rest and 2 more for each node
    Then bench computes 2700 bytes at rest for 1300 nodes
    And bench computes that 4 KB a second is reached at 1998 nodes

  Scenario: A falling slope is not followed past the measured sizes
    Given bench results with 100 bytes at rest and -2 more for each node
    Then bench computes 20 bytes at rest for 1300 nodes

  Scenario: Memory grows with the heap and not with the noise of the process
    Given bench results of heaps of 20, 21, 23 MB in processes of 100, 80, 90 MB
    Then bench computes a memory of 229 MB for 1300 nodes

  Scenario: Figures without a run are marked
    Given bench results of no part
    Then bench page says "not measured" for every target

  Scenario: A figure over its target is marked
    Given bench results with 100 bytes at rest and 20 more for each node
    And bench results of the changes and restarts with 0 bytes
    Then bench page says "over the target" for "control bytes sent per node"

  Scenario: A warm-up goes on while the calls become faster
    Given bench warm-up windows with times of 9, 5, 3, 2 ms
    Then the bench warm-up is not over

  Scenario: A warm-up ends when the calls no longer become faster
    Given bench warm-up windows with times of 9, 2, 2.1, 1.95 ms
    Then the bench warm-up is over

  Scenario: A short run measures only the rows it names
    Then bench rows "rate=300,bytes=1024" are 2 of the call part
    And bench rows "" are 8 of the call part

  Scenario: A fleet counts as settled when its traffic no longer falls
    Then bench takes windows of 2681 1047 279 219 189 207 189 188 bytes as steady after 8 of them
    And bench takes windows of 200 198 202 201 bytes as steady after 4 of them
    And bench takes windows of 900 800 700 600 500 bytes as steady after 0 of them

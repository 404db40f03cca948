@moves
Feature: Logic of version moves
  Guards against tests that stop too often, evidence that changes on the way,
  and gates that send calls to a stopped version.

  Scenario: The sequential test keeps its error rate
    When the moves test reads 2000 runs without a difference, at level 0.05
    Then the moves test stops at most 5% of these runs

  Scenario: The block likelihood is a probability ratio with mean one
    Then the moves likelihood ratio has mean 1 under the tolerated odds ratio

  Scenario: Evidence keeps its counts on the wire and in any merge order
    When random moves evidence is packed, unpacked and merged in two orders
    Then both moves merges hold the same counts

  Scenario: Merge order of records and stops
    Then a terminal moves record wins over any running one in both orders
    And moves stops merge to the same set in any order

  Scenario: The gate follows the share, stably and back
    Given a moves gate with a running record at share 0.25
    Then the moves gate sends about 25% of the calls to the new version
    And the moves gate keeps the version of each call id
    And the moves gate sends no call to a new version without ready instance

  Scenario: The gate obeys a stop at once, and checks invariant 9004
    Given a moves gate with a running record at share 0.25
    When the moves gate receives a stop and then a record of a higher step
    Then the moves gate sends no call to the new version
    And a call that leaves for the new version anyway breaks invariant 9004

  Scenario: The gate stops on its own evidence without controller or store
    Given a moves gate with a running record at share 0.25
    When the moves gate sees the new version fail for 10 s
    Then the moves gate has spread one stop
    And the moves gate sends no call to the new version

  Scenario: The watch of the full share allows for chance
    Guards against a single failure that changes a service without failures.
    Given a moves change watch that saw 100 s without a failure at share 0.64
    When the moves change watch sees 1 of 500 calls fail at share 1
    Then the moves change watch has seen no change
    When the moves change watch sees 20 of 500 calls fail at share 1
    Then the moves change watch has seen a change

  Scenario: The planner paces by evidence, capacity and deadline
    Then a moves plan follows these facts:
      | share | atShareS | deadlineS | clean | calls | capacity | plan            |
      | 0.01  | 5        | 1000      | yes   | 500   | 1        | hold            |
      | 0.01  | 30       | 1000      | yes   | 500   | 1        | setShare 0.02   |
      | 0.01  | 30       | 1000      | no    | 500   | 1        | hold            |
      | 0.01  | 30       | 1000      | yes   | 3     | 1        | hold            |
      | 0.01  | 600      | 400       | yes   | 3     | 1        | setShare 0.02   |
      | 0.64  | 30       | 1000      | yes   | 500   | 0.7      | setShare 0.7    |
      | 0.64  | 30       | 1000      | yes   | 500   | 0.3      | setShare 0.3    |
      | 0.01  | 30       | 100       | yes   | 500   | 1        | takeBack        |
      | 0.64  | 30       | 1000      | yes   | 500   | 1        | setShare 0.9    |
      | 0.9   | 30       | 1000      | yes   | 2000  | 1        | hold            |
      | 0.9   | 60       | 1000      | yes   | 500   | 1        | hold            |
      | 0.9   | 60       | 1000      | yes   | 2000  | 1        | setShare 1      |
      | 0.9   | 70       | 221       | yes   | 500   | 1        | hold            |
      | 0.9   | 90       | 201       | yes   | 500   | 1        | setShare 1      |
      | 1     | 30       | 1000      | yes   | 500   | 1        | hold            |
      | 1     | 60       | 1000      | yes   | 500   | 1        | done            |

@moves
Feature: Logic of version moves
  Guards against tests that stop good versions too often, evidence that changes
  on the wire, and entry nodes that send calls to a stopped version.

  Scenario: The sequential test keeps its false positive rate
    When the sequential test reads 2000 runs without a difference, at level 0.05
    Then the sequential test stops at most 5% of them

  Scenario: The likelihood ratio of a block has mean one under the hypothesis
    Then the likelihood ratio of a block has mean 1 under the tolerated odds ratio

  Scenario: Evidence keeps its counts on the wire and in any merge order
    When random evidence of moves is packed, unpacked and merged in two orders
    Then both merges of evidence hold the same counts

  Scenario: Merge order of records and stops
    Then a terminal move record wins over any running one in both orders
    And stops of moves merge to the same set in any order

  Scenario: The traffic splitter follows the share and keeps call ids stable
    Given a traffic splitter with a running record at share 0.25
    Then the traffic splitter sends about 25% of calls to the new version
    And the traffic splitter keeps call ids on the new version
    And the traffic splitter sends no call to a new version without a ready instance

  Scenario: The traffic splitter applies a stop at once and checks invariant 9004
    Given a traffic splitter with a running record at share 0.25
    When the traffic splitter receives a stop and then a record of a higher step
    Then the traffic splitter sends no call to the new version
    And a call sent to the new version anyway violates invariant 9004

  Scenario: The traffic splitter stops a version without the controller or the store
    Given a traffic splitter with a running record at share 0.25
    When the traffic splitter sees the new version fail for 10 s
    Then the traffic splitter has decided one stop
    And the traffic splitter sends no call to the new version

  Scenario: The change detector at the full share tolerates chance
    Guards against a single failure that counts as a change in a service that had none.
    Given a change detector that saw 100 s without a failure at share 0.64
    When the change detector sees 1 of 500 calls fail at share 1
    Then the change detector has detected no change
    When the change detector sees 20 of 500 calls fail at share 1
    Then the change detector has detected a change

  Scenario: The planner sets the share by evidence, capacity and deadline
    Then the planner of moves decides as follows:
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

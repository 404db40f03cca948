@processes
Feature: Mass restarts and version moves with real processes
  Guards against an overloaded store after many nodes die at once, and against
  bad versions that stay and good ones that do not finish.

  Scenario: A third of a process fleet restarts within a quarter of the store's rates
    Given a process fleet of 9 instances under a load of 60 calls a second
    And a process fleet change to version 2
    When process fleet instances 7, 8 and 9 are killed and started again at once
    Then every process fleet node holds version 2
    And the process fleet store saw at most 500 reads and 75 writes in any second
    And no process fleet call at a node that stayed failed

  Scenario: A bad new version of a process fleet is taken back with its reason
    Given a process fleet of 4 instances and 2 of version v2 that fails at once, under a load of 200 calls a second
    When a process fleet operator submits a move to v2 with a deadline in 300 s
    Then the process fleet move is takenBack within 60 s and its reason names failures
    And process fleet callers got at most 2% failures
    And no process fleet call goes to v2 any more

  @long
  Scenario: A good new version of a process fleet is done in time
    Given a process fleet of 4 instances and 4 of version v2 that is good, under a load of 200 calls a second
    When a process fleet operator submits a move to v2 with a deadline in 240 s
    Then the process fleet move is done within 240 s
    And no process fleet call failed

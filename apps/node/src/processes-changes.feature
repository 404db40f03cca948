@processes
Feature: Changes of the configuration with real processes
  Guards against calls that fail while versions change, and against refused
  input that changes something.

  Scenario: A process fleet takes a change and a promotion without a failed call
    Given a process fleet of 4 instances under a load of 80 calls a second
    And the process fleet has a trial node
    When a process fleet operator submits a changed document at node 2
    Then every process fleet node holds version 2
    When a process fleet operator promotes a trial version at node 3
    Then every process fleet node holds version 3
    And no process fleet call failed
    And process fleet callers saw versions 1, 2 and 3

  Scenario: A process fleet refuses wrong input with its code and changes nothing
    Given a process fleet of 2 instances under a load of 40 calls a second
    Then the process fleet refuses a document with an unknown service with 1107 and exit status 11
    And the process fleet refuses a submit without the operator token with 1901 and exit status 19
    And the process fleet refuses settings with a wrong unit with 1001 and exit status 10
    And the process fleet refuses a peer with a wrong node key with 1406
    And the process fleet refuses an oversized frame with 1404
    And the process fleet refuses an undecodable frame with 1405
    And every process fleet node holds version 1
    And the process fleet history ends with version 1
    And no process fleet call failed

  Scenario: Of two process fleet submits at once one wins
    Guards against a lost update: both operators believe theirs is active.

    Given a process fleet of 3 instances under a load of 60 calls a second
    When two process fleet operators submit on version 1 at nodes 1 and 2 at once
    Then one process fleet submit won and the loser got 1202, exit status 12, the winner and the difference
    And every process fleet node holds version 2
    And no process fleet call failed

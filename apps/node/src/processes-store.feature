@processes
Feature: Outages of the store with real processes
  Guards against calls and versions that depend on a store that is down, slow
  or restored, and against a change that is accepted twice or denied falsely.

  Scenario: A process fleet goes on while the store is down
    Guards against lost configuration in an outage, and false refusals.

    Given a process fleet of 4 instances under a load of 60 calls a second
    When the process fleet store is down
    Then a process fleet submit is refused with a 13xx code and nothing changes
    And process fleet reads go on while keyed writes are refused with 1702 as not run
    When the process fleet store is back
    Then a process fleet submit succeeds and every node holds version 2
    And process fleet keyed writes succeed again
    And each refused process fleet write had no run

  Scenario: A process fleet submit whose response is lost is one version
    Given a process fleet of 2 instances under a load of 40 calls a second
    When the process fleet store loses the response of a submit
    Then every process fleet node holds version 2
    And the process fleet history ends with version 2
    And no process fleet read failed

  Scenario: No process fleet node follows a store restored to an older state
    Given a process fleet of 3 instances under a load of 60 calls a second
    When the process fleet store is restored to a state before version 2
    Then process fleet status shows alarm 1205 and every node holds version 2
    And a process fleet submit is refused with 1205 and nothing changes
    And no process fleet read failed

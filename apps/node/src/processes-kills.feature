@processes
Feature: Killed and frozen processes with real processes
  Guards against writes that run twice and versions that go back when a
  process dies or pauses.

  Scenario: A killed process fleet node loses no read and doubles no write
    Given a process fleet of 5 instances with 40 ms of service time under a load of 100 calls a second
    When process fleet node 5 is killed
    And the process fleet callers repeat each failed write at other nodes
    Then no process fleet read at a live node failed
    And no process fleet write ran twice
    And each process fleet write answered as run has one run

  Scenario: A killed process fleet upstream doubles no write and its reads recover
    A request in flight at a crash is a suspect and is not retried by the node
    (design page, 3.7), so its caller repeats it.

    Given a process fleet of 5 instances with 40 ms of service time under a load of 100 calls a second
    When process fleet upstream 4 is killed
    And the process fleet callers repeat each failed write at other nodes
    Then only process fleet reads in flight at the killed upstream failed, and succeed when repeated
    And no process fleet write ran twice
    And each process fleet write answered as run has one run

  Scenario: A process fleet node frozen beyond its leases brings nothing back
    Guards against a relay, move controller and claim owner that acts on a
    lease that it no longer holds.

    Given a process fleet of 4 instances with 40 ms of service time under a load of 60 calls a second
    And the process fleet has a move, so that one node is its controller
    When the process fleet controller, a relay and claim owner, is frozen for 13 s while version 3 is accepted
    And the process fleet callers repeat each failed write at other nodes
    Then every process fleet node holds version 3
    And no process fleet version went back
    And no process fleet write ran twice
    And each process fleet write answered as run has one run

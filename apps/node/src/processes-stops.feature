@processes
Feature: Planned stops with real processes
  Guards against calls and streams that a stop cuts.

  Scenario: A process fleet node stops without cutting a call
    Given a process fleet of 4 instances under a load of 80 calls a second
    And 4 process fleet streams run through each node
    When process fleet node 4 is told to stop
    Then process fleet node 4 ends by itself with status 0
    And each process fleet stream is whole
    And no process fleet call failed but refusals of the stopped node as not run

  Scenario: A leaving upstream gets no process fleet request after 3 s
    Given a process fleet of 4 instances whose upstreams take requests for 5 s after leaving, under a load of 80 calls a second
    And 4 process fleet streams run through each node
    When process fleet upstream 4 is told to stop
    Then process fleet upstream 4 ends by itself with status 0
    And each process fleet stream is whole
    And process fleet upstream 4 ran requests before it left and none later than 3 s after
    And no process fleet call failed

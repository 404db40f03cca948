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

  Scenario: A process fleet node that gets SIGTERM twice stops without cutting a stream
    Guards against a second signal that ends the process in the middle of its stop.
    Given a process fleet of 4 instances under a load of 80 calls a second
    And 4 process fleet streams run through each node
    When process fleet node 4 is told to stop
    And process fleet node 4 is told to stop again after 300 ms
    Then process fleet node 4 ends by itself with status 0
    And each process fleet stream is whole

  Scenario: A leaving upstream gets no process fleet request after 3 s
    Given a process fleet of 4 instances whose upstreams take requests for 7 s after leaving, under a load of 80 calls a second
    And 4 process fleet streams run through each node
    When the busiest process fleet upstream is told to stop
    Then the leaving process fleet upstream ends by itself with status 0
    And each process fleet stream is whole
    And the leaving process fleet upstream ran requests just before it left
    And process fleet callers sent its node at least 40 calls later than 3 s after, while it took requests
    And the leaving process fleet upstream ran no request later than 3 s after it left
    And no process fleet call failed

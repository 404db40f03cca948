@calls
Feature: Call chains
  Guards against retries that multiply over the levels of a call chain, and
  against a draining node that refuses the sub-calls of its calls in flight.

  Scenario: Retries do not multiply when the deepest service of a call chain fails
    Given 3 nodes whose upstreams make sub-calls until depth 4
    When 5 call chains start and the deepest service refuses each call and reports it as not run
    Then each call chain reached the deepest service at most 3 times
    And each call chain was refused, reported as not run, with 0 retries left

  Scenario: A call chain succeeds once its deepest service recovers
    Given 3 nodes whose upstreams make sub-calls until depth 4
    When a call chain starts and the deepest service refuses the call 1 time
    Then the call chain succeeds and reports 1 retry left

  Scenario: A draining node accepts sub-calls of calls in flight
    Given 2 nodes whose upstreams make sub-calls until depth 2
    When node 1 drains before its upstream makes a sub-call
    Then a new call to node 1 is refused with 1605 and reported as not run
    And the call chain in flight at node 1 succeeds
    And node 1 of the call chain has drained

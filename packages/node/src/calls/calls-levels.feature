@calls
Feature: Call chains
  Guards against retries that multiply over the levels of a call chain, and
  against a planned stop that fails calls in flight.

  Scenario: Retries do not multiply when the deepest service of level calls fails
    Given 3 level nodes whose upstreams make sub-calls down to depth 4
    When 5 level calls are made and the deepest service refuses them as not run
    Then each level call reached the deepest service at most 3 times
    And each level call was refused as not run with no retries left

  Scenario: A level call is answered once its deepest service recovers
    Given 3 level nodes whose upstreams make sub-calls down to depth 4
    When a level call is made and the deepest service refuses it 1 time
    Then the level call is answered and reports 1 retry left

  Scenario: A draining level node accepts sub-calls of calls in flight
    Given 2 level nodes whose upstreams make sub-calls down to depth 2
    When level node 1 drains before its upstream makes a sub-call
    Then a new level call to node 1 is refused with 1605 as not run
    And the level call in flight at node 1 is answered
    And level node 1 has drained

@claims
Feature: At-most-once claims
  Guards against a request with an idempotency key that runs twice when owners
  are paused or doubled, responses are lost, or the store has outages.

  Scenario: No request runs twice in seeded runs with all faults
    Given claim runs with 12 seeds
    When the claim nodes are paused, doubled and killed over a faulty store
    Then no claim was granted to two calls and every fault occurred

  Scenario: A paused owner cannot append where a segment was folded away
    Given a paused claim owner that has listed an empty partition
    When another claim owner grants claims until the first segments are folded
    Then the paused claim owner does not grant a claim of the other owner

  Scenario: Repeated and finished requests get the recorded answer
    Given a claim owner and a claim client
    Then a granted claim is in progress for another call
    And a finished claim returns its answer at a new claim owner
    And a claim that may have run is unknown after its hold time
    And a released claim is granted again
    And a claim is refused as not run while the store is down
    And a claim whose append lost its response is granted with one append
    And claims over the limit of the partition are refused as not run

  Scenario: Begins are batched
    Given claim loads of 50, 200 and 1000 begins per second
    Then a claim load waits under 510 ms at p99 and writes at most 4 per second and partition

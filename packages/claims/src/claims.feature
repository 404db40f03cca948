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

  Scenario: Reads of an uncertain append back off during an outage
    Given a claim owner whose append is cut off by an outage of 60 s
    Then the claim owner has read the store at most 65 times
    And a claim after the outage is granted within 2 s

  Scenario: Claims and segments expire after the retention
    Given a claim owner with a claim that has ended 24 hours less 1 s ago
    Then the claim is finished and its segment remains
    And 2 s later the claim is granted again and its segment is removed
    And a full claim partition has room again 24 hours later

  Scenario: The end of an unknown claim is recorded or refused
    Given a claim owner that has loaded a partition before another owner grants
    Then the claim owner records the end of the other owner's claim
    And a claim that ran without a grant is finished for another call
    And the end of another call's claim is refused
    And the release of an unknown claim is refused

  Scenario: Begins are batched
    Given claim loads of 50, 200 and 1000 begins per second
    Then a claim load waits under 510 ms at p99 and writes at most 4 per second and partition

  Scenario: A claim owner that ends does no more work
    Given a claim owner whose append is cut off by an outage and that then ends
    Then the claim owner makes no further store calls

@claims
Feature: At-most-once claims
  Guards against a request with an idempotency key that runs twice. This can
  happen if an owner is paused, if two nodes act as the owner of a partition, if
  responses are lost, or if the store has outages.

  Scenario: No request runs twice in seeded runs with injected faults
    Given claim fault runs with 12 seeds
    When the claim owners are paused, duplicated and restarted, and the store is faulty
    Then no claim was granted to two calls and every kind of fault occurred

  Scenario: A paused owner cannot append at the sequence number of a compacted segment
    Given a paused claim owner that has listed an empty partition
    When another claim owner grants claims until the first segments are compacted
    Then the paused claim owner does not grant a claim that the other owner has granted

  Scenario: Repeated requests get a reply that matches the recorded state
    Given a claim owner and a claim client
    Then a granted claim is in progress for another call
    And a finished claim returns its stored response from a new claim owner
    And a claim without an outcome is unknown after its hold time
    And a released claim is granted again
    And a claim is refused as not run while the store is down
    And a claim whose append response is lost is granted with one append
    And claims over the limit of the partition are refused as not run

  Scenario: Reads of an append with an unknown outcome back off during an outage
    Given a claim owner whose append is interrupted by a store outage of 60 s
    Then the claim owner has read from the store at most 65 times
    And a claim after the store outage is granted within 2 s

  Scenario: Claims and segments expire after the retention
    Given a claim owner with a claim that finished 24 hours less 1 s ago
    Then the expiring claim is still finished and its segment remains
    And 2 s later the expired claim is granted again and its segment is removed
    And a full claim partition accepts claims again 24 hours later

  Scenario: The outcome of a claim that the owner does not know is recorded or refused
    Given a claim owner whose partition state is older than grants of another owner
    Then the claim owner records the outcome of the other owner's claim
    And a claim that ran without a grant is finished for another call
    And the outcome of a claim that another call holds is refused
    And the release of an unknown claim is refused

  Scenario: Begins are batched into few appends
    Given claim loads of 50, 200 and 1000 begins per second
    Then each claim load has a p99 wait under 510 ms and at most 4 writes per second and partition

  Scenario: A stopped claim owner makes no store calls
    Given a claim owner that is stopped while a store outage interrupts its append
    Then the claim owner makes no further store calls

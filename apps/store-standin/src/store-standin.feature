@store-standin
Feature: Stand-in of the platform's store
  Guards against a client and a stand-in that disagree about the protocol, and
  against faults of the store that the client reports wrongly.

  Background:
    Given a store stand-in with an http store

  Scenario: Keys, transactions and leases work over the gateway
    Then the stand-in commits a transaction and reads its keys in order
    And the stand-in reports a conflict with the current entry
    And the stand-in rejects a value over 1 MB and an unknown lease
    And the stand-in ends a lease by expiry and by revocation

  Scenario: A watch reports past and new events without a gap
    When the stand-in is watched from an older revision through idle streams
    Then the stand-in watch reported each change once and in order
    And the stand-in watch fails when the stand-in goes back to an older state

  Scenario: A watch whose connection goes silent reports changes within 10 s
    Guards against changes that wait until a silent stream is opened again.
    When the stand-in is watched over a connection that goes silent
    Then the stand-in watch reports a change within 10000 ms

  Scenario: Faults of the stand-in reach the client with the right meaning
    Then the stand-in without a leader fails as not applied
    And the stand-in over its write limit fails as not applied
    And the stand-in that resets connections leaves a write unknown
    And the stand-in that loses a response is settled with one write
    And the slow stand-in exceeds the time limit of a read
    And the stand-in restores a saved state by its control endpoint

  Scenario: Both stores behave alike over random operations
    Then the stand-in and the memory store agree over 300 random operations

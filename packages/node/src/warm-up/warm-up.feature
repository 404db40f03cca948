@hosted
Feature: Warm-up of the call path
  Guards against a warm-up that continues while the node has real calls, and
  against sockets that stay open afterwards.

  Scenario: A warm-up ends after its last call
    Given a warm-up of at most 60 calls
    When the warm-up runs
    Then the warm-up made at least 40 calls
    And the warm-up left no socket open

  Scenario: A node that has calls from its start makes no warm-up calls
    Guards against a slower restart under load: a warm-up call of a cold node costs
    as much as a call of a caller.
    Given a warm-up of at most 1000000 calls
    When the node of the warm-up has a call from 400 to 600 ms
    Then the warm-up made 0 calls

  Scenario: A warm-up ends when the node gets a real call
    Given a warm-up of at most 1000000 calls
    When the node of the warm-up gets a call after 1500 ms
    Then the warm-up ended within 500 ms
    And the warm-up left no socket open

  Scenario: A warm-up ends when its node stops
    Given a warm-up of at most 1000000 calls
    When the node of the warm-up stops after 1500 ms
    Then the warm-up ended within 500 ms
    And the warm-up left no socket open

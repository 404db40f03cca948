@hosted
Feature: Warm-up of the call path
  Guards against a warm-up that goes on beside calls, or leaves something behind.

  Scenario: A warm-up ends after its calls
    Given a warm-up of at most 60 calls
    When the warm-up runs
    Then the warm-up made at least 40 calls
    And the warm-up left no socket open

  Scenario: A node that has calls from its start is not warmed up
    Guards against a restart under load that takes longer: a cold call of the warm-up
    costs as much as one of a caller.
    Given a warm-up of at most 1000000 calls
    When the node of the warm-up has a call from 400 to 600 ms
    Then the warm-up made 0 calls

  Scenario: A warm-up ends when the node gets calls of its own
    Given a warm-up of at most 1000000 calls
    When the node of the warm-up gets a call after 1500 ms
    Then the warm-up ended within 500 ms
    And the warm-up left no socket open

  Scenario: A warm-up ends with its node
    Given a warm-up of at most 1000000 calls
    When the node of the warm-up ends after 1500 ms
    Then the warm-up ended within 500 ms
    And the warm-up left no socket open

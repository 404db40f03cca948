@moves
Feature: Controller of version moves
  Guards against steps without the store, a move that is decided twice, and a
  stop that waits for the store.

  Scenario: A move runs to done
    Given a moves controller with its store
    When the moves controller ticks for 1,000 s with clean evidence
    Then the stored move is "done" with a reason that contains "held at 100%"
    And no stored move share more than doubled

  Scenario: A store outage delays steps but no stop
    Given a moves controller with its store
    When the moves controller ticks for 60 s with clean evidence
    And the store of the moves controller goes down
    And the moves controller ticks for 300 s with clean evidence
    Then the moves controller made no step during the outage
    When the moves controller ticks for 60 s with failing evidence
    Then the moves controller spread exactly one stop
    When the store of the moves controller comes back
    And the moves controller ticks for 15 s with clean evidence
    Then the stored move is "takenBack" with a reason that contains "failed"

  Scenario: A lost response of a write that took effect makes no second step
    Given a moves controller with its store
    When the next write of the moves controller loses its response
    And the moves controller ticks for 1,000 s with clean evidence
    Then the stored move is "done" with a reason that contains "held at 100%"
    And each stored move step was written once
    And each reported moves record was stored

  Scenario: A lost write is written again
    Given a moves controller with its store
    When the next write of the moves controller is lost
    And the moves controller ticks for 1,000 s with clean evidence
    Then the stored move is "done" with a reason that contains "held at 100%"
    And each reported moves record was stored

  Scenario: Two moves controllers at once decide a move once
    Given a moves controller with its store
    And a second moves controller that believes it holds the lease
    When both moves controllers tick for 1,000 s and one sees failures
    Then both moves controllers report the same decision
    And each stored move step was written once

  Scenario: An operator takes a move back
    Given a moves controller with its store
    When the moves controller ticks for 60 s with clean evidence
    And an operator takes the move back at the moves controller
    And the moves controller ticks for 2 s with clean evidence
    Then the stored move is "takenBack" with a reason that contains "operator"
    And a second take-back at the moves controller is refused with 1802

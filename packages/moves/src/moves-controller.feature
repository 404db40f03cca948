@moves
Feature: Controller of version moves
  Guards against steps that are not in the store, moves that end twice, and stops
  that wait for the store.

  Scenario: A move without faults ends as done
    Given a move controller with its store
    When the move controller ticks for 1,000 s with clean evidence
    Then the stored move is "done" with a reason that contains "held at 100%"
    And no stored move share more than doubled

  Scenario: A store outage delays steps but not stops
    Given a move controller with its store
    When the move controller ticks for 60 s with clean evidence
    And the store of the move controller goes down
    And the move controller ticks for 300 s with clean evidence
    Then the move controller made no step during the outage
    When the move controller ticks for 60 s with failing evidence
    Then the move controller sent exactly one stop
    When the store of the move controller comes back
    And the move controller ticks for 15 s with clean evidence
    Then the stored move is "takenBack" with a reason that contains "failed"

  Scenario: A committed write whose response is lost causes no second step
    Given a move controller with its store
    When the next write of the move controller loses its response
    And the move controller ticks for 1,000 s with clean evidence
    Then the stored move is "done" with a reason that contains "held at 100%"
    And each stored move step was written once
    And each reported move record was stored

  Scenario: A write that is lost is repeated
    Given a move controller with its store
    When the next write of the move controller is lost
    And the move controller ticks for 1,000 s with clean evidence
    Then the stored move is "done" with a reason that contains "held at 100%"
    And each reported move record was stored

  Scenario: Two controllers at once end a move only once
    Given a move controller with its store
    And a second move controller that also believes it holds the lease
    When both move controllers tick for 1,000 s and one sees failures
    Then both move controllers report the same decision
    And each stored move step was written once

  Scenario: An operator takes a move back
    Given a move controller with its store
    When the move controller ticks for 60 s with clean evidence
    And an operator takes the move back at the move controller
    And the move controller ticks for 2 s with clean evidence
    Then the stored move is "takenBack" with a reason that contains "operator"
    And a second take-back at the move controller is refused with 1802

@hosted
Feature: Calls that a planned stop does not wait for
  Guards against calls without an answer, and against parts of answers that look
  complete, when a stop closes the connections of callers.

  Scenario: The end of a planned stop answers the calls that still run
    Given a hosted node process whose upstream works longer than its stop lasts
    And 4 callers of it wait for their answers
    When the hosted node process stops as planned
    Then each of these callers has a whole answer of 502 or 503

  Scenario: The end of a planned stop answers calls whose held answers are not complete
    Given a hosted node process whose upstream works longer than its stop lasts
    And 4 callers of it wait for the rest of 100000 bytes that it holds
    When the hosted node process stops as planned
    Then each of these callers has a whole answer of 502 or 503

  Scenario: The end of a planned stop leaves no part of an answer in chunks that looks complete
    Given a hosted node process whose upstream works longer than its stop lasts
    And 1 caller of it reads an answer in chunks that does not end
    When the hosted node process stops as planned
    Then none of these callers has a complete answer

  Scenario: A planned stop leaves no part of a long answer that looks complete
    Given a hosted node process whose upstream works longer than its stop lasts
    And 1 caller of it has paused in an answer of 10000000 bytes without a length
    When the hosted node process stops as planned
    And the paused caller reads on
    Then none of these callers has a complete answer

  Scenario: A process that ends over its errors leaves no part of a long answer that looks complete
    Given a hosted node process that fails on a signal
    And 1 caller of it has paused in an answer of 10000000 bytes without a length
    When the hosted node process ends over its errors
    And the paused caller reads on
    Then none of these callers has a complete answer

  Scenario: A planned stop waits for a caller that pauses in its answer
    Given a hosted node process whose upstream works longer than its stop lasts
    And 1 caller of it has paused in an answer of 10000000 bytes without a length
    When the hosted node process stops as planned and the paused caller reads on 3500 ms later
    Then each of these callers has a whole answer of 10000000 bytes

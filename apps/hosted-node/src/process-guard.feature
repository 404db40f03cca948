@hosted
Feature: Errors that no handler catches
  Guards against one malformed message or unexpected error that takes a node down
  with all its calls, and against a broken process that lives on.

  Scenario: A process survives single errors
    When a guarded process meets 20 errors within 1 s
    Then the guarded process goes on and has counted 20 errors

  Scenario: A process survives errors that come seldom
    When a guarded process meets 60 errors within 240 s
    Then the guarded process goes on and has counted 60 errors

  Scenario: A process whose errors do not stop ends
    When a guarded process meets 30 errors within 1 s
    Then the guarded process ends once

  Scenario Outline: A real process goes on after <error>
    When a process with a guard meets <error>
    Then it goes on and logs the error

    Examples:
      | error                 |
      | an uncaught exception |
      | an unhandled rejection |

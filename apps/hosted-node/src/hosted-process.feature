@hosted
Feature: The hosted node as a process
  Guards against a signal that ends the process, a settings file that stops it
  while it runs, and errors that name no code.

  Scenario: The settings are checked and printed
    When the hosted node runs with "--check"
    Then the hosted node ends with 0 and prints "settings are valid"

  Scenario: Settings with a fault end the hosted node with their code
    When the hosted node runs with "--check" and a broken settings file
    Then the hosted node ends with 10 and reports "1001"

  Scenario: Lines of refusals leave room for those of other results
    When 500 lines of refusals and one of another result are logged at once
    Then the structured log holds the line of the other result
    And the structured log holds at most 25 lines of refusals

  Scenario: A hosted node survives SIGHUP and a broken file, and ends by SIGTERM
    Given a running hosted node process
    When its settings file breaks and it gets SIGHUP
    And its settings file is mended without a signal
    Then its log says "Settings file refused." and "Settings were read again."
    And it still answers that it is not ready
    And the hosted node process ends by itself after SIGTERM

  Scenario: A restarted hosted node finds its code compiled
    Guards against the first seconds after a restart, in which a node compiles its
    code one function after the other while callers wait.
    Given the bundle of the hosted node
    When the bundle starts as it is deployed
    Then it says that its code cache is "used"

  Scenario: A hosted node starts without the code that its build compiled
    Given the bundle of the hosted node
    And its code cache is cut short
    When the bundle starts as it is deployed
    Then it says that its code cache is "not used"

  Scenario: The bundle does no work for the names of functions while calls run
    Given the bundle of the hosted node
    Then the bundle has no helper that names functions as they are made

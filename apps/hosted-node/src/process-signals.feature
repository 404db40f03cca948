@hosted
Feature: Signals to a hosted node that starts or stops
  Guards against a signal that ends the process at once, so that the calls that it
  still holds are cut.

  Scenario Outline: A hosted node that stops answers its calls after a further <signal>
    Given a hosted node process whose upstream works for 700 ms
    And 4 calls are in flight at the hosted node process
    When it gets SIGTERM and, while its calls run, <signal>
    Then all calls in flight are answered with 200
    And the hosted node process ends by itself with status 0

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGTERM |
      | SIGINT  |

  Scenario: A hosted node that stands still in its stop answers what arrived meanwhile
    Given a hosted node process whose upstream works for 20 ms
    When it gets SIGTERM and stands still until the end of its stop is due
    And 4 calls arrive at the hosted node process on kept connections, and 4 on new ones
    Then each of these calls is answered
    And the hosted node process ends by itself with status 0

  Scenario: A hosted node that gets SIGHUP before it has read its settings starts
    Given the bundle of the hosted node reads its settings
    When it gets SIGHUP before the settings are written
    Then the hosted node process starts

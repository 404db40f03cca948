@testing
Feature: Outcomes of a test run
  Guards against a run that breaks off and passes, since the scenarios that it did not
  reach are not counted and a known failure explains its exit status.

  Scenario: A run that breaks off fails the scenarios that it has not finished
    Given a test run of the scenarios "a", "b" and "c"
    And its scenario "a" has passed and its scenario "b" has begun
    When the messages of the test run end with a line that was cut
    Then the test run has not ended
    And its passed scenarios are "a"

  Scenario: The last attempt of a scenario counts
    Given a test run of the scenarios "a", "b" and "c"
    And its scenario "b" has failed, then passed
    When the test run ends
    Then the test run has ended
    And its passed scenarios are "b"

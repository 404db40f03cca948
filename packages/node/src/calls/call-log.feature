@calls
Feature: Log of recent calls
  Guards against explanations from an overwritten record.

  Scenario: The data path log keeps the most recent calls
    Given a data path log of 10 calls
    When 25 data path calls are logged
    Then the data path log has calls 15 to 24 only

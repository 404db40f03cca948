@calls
Feature: Log of recent calls
  Guards against reports on calls whose record was overwritten.

  Scenario: The data path log keeps the most recent calls
    Given a data path log of 10 calls
    When 25 data path calls are logged
    Then the data path log contains only calls 15 to 24

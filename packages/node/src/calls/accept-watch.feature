@calls
Feature: Waits of calls that no result code shows
  Guards against calls that run for callers that left, where nothing tells in
  which place they waited.

  Scenario: The time that connections wait to be accepted is measured
    Given a watched listener whose turns take 5 ms for each connection
    When 60 callers connect to the watched listener at once
    Then the watched listener has seen a wait of over 100 ms
    And within 2000 ms its wait is below 50 ms again

  Scenario: Calls that wait for long are counted by their place
    When calls wait 20, 150 and 700 ms for a connection to their upstream
    Then 2 long waits are counted for "connection"

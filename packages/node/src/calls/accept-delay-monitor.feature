@calls
Feature: Delays of calls that no result code shows
  Guards against calls that run after their callers have disconnected, while no
  log line or metric shows where the calls waited.

  Scenario: The wait of connections to be accepted is measured
    Given an accept delay monitor on a server that spends 5 ms on each connection
    When 60 callers connect to the server of the accept delay monitor at once
    Then the accept delay monitor has reported a wait of over 100 ms
    And within 2000 ms the accept delay monitor reports a wait below 50 ms again

  Scenario: Long waits of calls are counted by place
    When calls wait 20, 150 and 700 ms for a connection to their upstream
    Then 2 long waits are counted for "connection"

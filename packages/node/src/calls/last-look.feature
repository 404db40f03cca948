@calls
Feature: The last look at a call's deadline
  Guards against calls that wait after their deadline was looked at: for a connection
  to another node or to the upstream, and that run when their callers have left.

  Scenario: A call that gets its connection to the upstream too late is not written
    Given a serving side whose upstream connects after 150 ms
    When calls with 100 ms and 400 ms left are served there
    Then the call with 100 ms left was refused as 1606 and not written
    And the call with 400 ms left was written

  Scenario: The wait for a connection between nodes counts against a call's time
    Given a peer that is connected to after 200 ms
    When an attempt with 500 ms left is made at that peer
    Then the head of the attempt says that at most 310 ms are left

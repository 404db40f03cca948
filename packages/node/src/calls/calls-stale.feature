@calls
Feature: Calls that ended before a busy node read them
  Guards against work at an upstream for callers that have long left, after a
  node was paused or overloaded and reads a call together with its end.

  Scenario: A call whose end arrives right behind it reaches no upstream
    Given a stale data path node that has answered a call
    When 5 stale data path calls arrive together with their ends
    Then 1 stale data path call has asked for a slot

  Scenario: A call whose caller leaves while its peer is connected to is not sent
    When a stale data path attempt is aborted while its stream opens
    Then the stale data path stream was not opened

@calls
Feature: Calls that ended before a busy node read them
  Guards against work at an upstream for callers that have long left, after a
  node was paused or overloaded and reads a call together with its end.

  Scenario: A call whose end arrives right behind it reaches no upstream
    Given a stale data path node that has answered a call
    When 5 stale data path calls arrive together with their ends
    Then 1 stale data path call has asked for a slot

  Scenario: After a stall the ends of calls are read before they ask for a slot
    Given a stale data path node that has answered a call
    When its loop was late by 700 ms and 5 calls end 10 ms after they arrive
    Then 1 stale data path call has asked for a slot

  Scenario: A call whose time passed during a stall is not run
    Given a stale data path node that has answered a call
    When its loop was late by 1400 ms and a call with 1000 ms arrives
    Then 1 stale data path call has asked for a slot

  Scenario: A call whose time passed on its way is not run
    Given a stale data path node that has answered a call
    When a call with 1000 ms arrives that was on its way for 1100 ms
    Then 1 stale data path call has asked for a slot

  Scenario: A stall of the event loop is measured
    When a watched loop stands still for 800 ms
    Then the watched loop is late by 750 ms for 150 ms

  Scenario: A call whose caller leaves while its peer is connected to is not sent
    When a stale data path attempt is aborted while its stream opens
    Then the stale data path stream was not opened

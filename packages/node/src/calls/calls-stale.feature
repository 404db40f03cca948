@calls
Feature: Calls that ended before a busy node read them
  Guards against upstream work for callers that disconnected long ago. A node that
  was paused or overloaded reads such a call together with its cancellation.

  Scenario: A call that is cancelled right after it arrives reaches no upstream
    Given a stale data path node that has answered a call
    When 5 stale data path calls arrive together with their cancellation
    Then 1 stale data path call has requested a slot

  Scenario: After a stall cancellations are read before calls request a slot
    Given a stale data path node that has answered a call
    When its event loop was late by 700 ms and 5 calls are cancelled 10 ms after they arrive
    Then 1 stale data path call has requested a slot

  Scenario: A call whose deadline passed during a stall is not run
    Given a stale data path node that has answered a call
    When its event loop was late by 1400 ms and a call with a deadline of 1000 ms arrives
    Then 1 stale data path call has requested a slot

  Scenario: A call whose deadline passed in transit is not run
    Given a stale data path node that has answered a call
    When a call with a deadline of 1000 ms arrives after a transit time of 1100 ms
    Then 1 stale data path call has requested a slot

  Scenario: A stall of the event loop is measured
    When a watched event loop is blocked for 800 ms
    Then the watched event loop is late by 750 ms for 150 ms

  Scenario: A call is not sent if its caller disconnects while the stream opens
    When a stale data path attempt is aborted while its stream opens
    Then the stale data path stream was not opened

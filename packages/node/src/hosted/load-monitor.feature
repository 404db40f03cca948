@hosted
Feature: Load of a hosted node
  Guards against refusals for which the log does not show whether the node ran out
  of slots or of processor time.

  Scenario: The load line shows the calls, slot times and event loop of a second
    Given a load monitor of a node whose event loop is busy for 0.83 of the time
    When 3 calls end at the monitored node, 1 of them refused
    And 2 calls are refused by the throttle of the monitored node
    And the threads of the monitored node use 540 ms of processor time
    And calls of route "orders" hold their slots for 40 and 80 ms
    And the window of the load monitor ends
    Then the load line has "busyPercent" with value 83
    And the load line has "cpuMs" with value 540
    And the load line has "calls" with value 5
    And the load line has "refused" with value 3
    And the load line has "throttled" with value 2
    And the load line has "held" with text "orders 2 calls 60 ms"
    And the load line has "answered" with text "orders 2 calls 90 ms"
    And the load line has "waits" with text "queue 4 calls 15 ms"
    And the load line has "turns" with value 430
    And the load line has "lateMs" with value 62
    And the load line has "heapMb" with value 50
    And the load line has "bufferMb" with value 8

  Scenario: The load monitor logs nothing for a second without calls
    Given a load monitor of a node whose event loop is busy for 0.02 of the time
    When the window of the load monitor ends
    Then the load monitor has logged no line

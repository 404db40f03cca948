@emulator
Feature: Emulator of a fleet under load
  Guards against figures that cannot be repeated, calls that are lost from the
  count, and day files whose faults are found late or without a line.

  Scenario: A day is played the same each time
    When the emulated day "busy-nodes" is played twice with seed 7
    Then both emulated runs gave the same figures
    And each emulated call has one outcome

  Scenario: Another seed gives other figures
    When the emulated day "busy-nodes" is played with seeds 7 and 8
    Then the emulated runs gave other figures

  Scenario: Light load is served on time
    Given an emulated day at 0.5 times the capacity of its upstreams
    When it is emulated
    Then at least 97 in 100 emulated calls are on time

  Scenario: Under overload the upstreams stay full and what is left is refused soon
    Given an emulated day at 2 times the capacity of its upstreams
    When it is emulated
    Then at least 90 in 100 emulated slots are used from 4 s on
    And at least 30 in 100 emulated calls are refused

  Scenario: The throttle spares processor time of busy nodes
    Given an emulated day at 2 times the capacity of its upstreams
    When it is emulated with the throttle and without
    Then the emulated nodes use less processor time with the throttle
    And it answers at least 97 in 100 as many emulated calls on time

  Scenario: A restart of all nodes is over soon
    Given an emulated day at 0.5 times the capacity of its upstreams
    And all its emulated nodes restart after 4 s
    When it is emulated
    Then emulated calls fail in the window from 4 s
    And no emulated call that began 20 ms before 4 s is answered
    And at least 90 in 100 emulated calls of the window from 8 s are on time

  Scenario Outline: A fault of a day file is named with its line
    When an emulated day file has "<line>" as its line 2
    Then the emulated day is refused with <code> and line <at>

    Examples:
      | line           | code | at |
      | seconds = true | 1001 | 2  |
      | seconds = = 1  | 1003 | 2  |
      | unknown = 1    | 1001 | 1  |

  Scenario: A name that is not defined is named with its line
    When an emulated day file sends calls to the service "nowhere"
    Then the emulated day is refused with 1001 and line 13

  Scenario: The time line is drawn
    When the emulated day "busy-nodes" is played twice with seed 7
    Then its emulated plot has a line for each series

@routing
Feature: Throttle of the entry node
  Guards against processor time spent on forwarding calls that the instances
  refuse, and against instances that the throttle leaves idle.

  Scenario Outline: The throttle halves the refusals at <load> times the capacity and keeps the goodput
    When <nodes> entry nodes with a throttle load 11 slots at <load> times their capacity for 10 s
    Then with the throttle the slots refuse at most half as many calls as without it
    And with the throttle the slots answer at least 97 in 100 as many calls on time as without it

    Examples:
      | load | nodes |
      | 2.5  | 4     |
      | 4    | 12    |

  Scenario: The throttle rejects no call while the instances accept all calls
    When 4 entry nodes with a throttle load 11 slots at 0.7 times their capacity for 10 s
    Then the throttles of the entry nodes reject 0 calls

  Scenario: The throttle sends all calls again soon after the instances accept them
    Given a throttle whose calls are all refused for 5000 ms
    When the instances accept the calls of the throttle again
    Then after 2000 ms the throttle rejects no more calls

  Scenario: Calls that end with an unknown outcome cause no rejection
    When 200 calls through the throttle end with an unknown outcome
    Then the throttle sends the next 50 calls

  Scenario: Calls without a response yet cause no rejection
    When 100 calls through the throttle are sent and not answered
    Then the throttle sends the next 50 calls

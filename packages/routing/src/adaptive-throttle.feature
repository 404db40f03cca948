@routing
Feature: Calls that are turned away at the entry node
  Guards against processor time for the way of calls to instances that refuse
  them, and against instances that are left idle by what is turned away.

  Scenario Outline: Half of the refusals are spared at <load> times the load and nothing is lost
    When <nodes> throttled entry nodes load 11 slots at <load> times their capacity for 10 s
    Then the throttled slots refuse at most half as many calls as without a throttle
    And the throttled slots answer at least 97 in 100 as many calls as without a throttle

    Examples:
      | load | nodes |
      | 2.5  | 4     |
      | 4    | 12    |

  Scenario: Nothing is turned away while the instances accept all calls
    When 4 throttled entry nodes load 11 slots at 0.7 times their capacity for 10 s
    Then the throttled entry nodes turn 0 calls away

  Scenario: Calls are sent again soon after the instances accept them
    Given a throttle whose calls are all refused for 5000 ms
    When the throttled calls are accepted again
    Then within 2000 ms the throttle turns none away

  Scenario: Calls that fail for another reason turn none away
    When 200 throttled calls end for an unknown reason
    Then the throttle lets the next 50 calls pass

  Scenario: Calls that have no answer yet turn none away
    When 100 throttled calls are sent and not answered
    Then the throttle lets the next 50 calls pass

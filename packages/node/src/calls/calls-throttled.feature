@calls
Feature: Calls that the entry node turns away
  Guards against work of two nodes for each of many calls that are refused.

  Scenario: Under a lasting overload most refused calls reach no instance
    Given 2 throttled nodes whose instances refuse all calls
    When 200 throttled read calls are made one after the other
    Then all throttled calls are refused as not run
    And at most 50 throttled calls asked an instance
    And a throttled call that asked none is recorded with 1620

  Scenario: Calls that are served are not turned away
    Given 2 throttled nodes whose instances take all calls
    When 100 throttled read calls are made one after the other
    Then all throttled calls are served

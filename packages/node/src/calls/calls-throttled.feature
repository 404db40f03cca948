@calls
Feature: Calls that the entry node rejects
  Guards against load on two nodes from each of many calls that are refused.

  Scenario: Under sustained overload most refused calls reach no instance
    Given 2 throttled nodes whose instances refuse all calls
    When 200 throttled read calls are made one after the other
    Then all throttled calls are refused as not run
    And at most 50 throttled calls were sent to an instance
    And each throttled call that was sent to none is recorded with 1620

  Scenario: The entry node rejects no calls that instances accept
    Given 2 throttled nodes whose instances accept all calls
    When 100 throttled read calls are made one after the other
    Then all throttled calls are served

@routing
Feature: Routes that upstreams use for the calls they run
  Guards against calls of outside callers that pass for those of running calls,
  and sub-calls that wait behind them.

  Scenario: A route that one service calls is a route of its upstreams
    When 50 calls on a route enter at nodes of "portal"
    Then the route is one of sub-calls

  Scenario: A route that callers enter everywhere is not
    When 30 calls on a route enter at nodes of "portal"
    And 20 calls on a route enter at nodes of "stock"
    Then the route is not one of sub-calls

  Scenario: A few calls say nothing about a route
    When 10 calls on a route enter at nodes of "portal"
    Then the route is not one of sub-calls

  Scenario: A route whose use changes is judged anew
    When 390 calls on a route enter at nodes of "portal"
    And 60 calls on a route enter at nodes of "stock"
    Then the route is not one of sub-calls

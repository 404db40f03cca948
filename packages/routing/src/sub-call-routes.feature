@routing
Feature: Detection of routes that upstreams call
  Guards against calls of outside callers that are treated as sub-calls, and
  against sub-calls that are queued behind calls of outside callers.

  Scenario: A route that only one service calls is a sub-call route
    When 50 calls on a route enter at nodes of "portal"
    Then the route is classified as a sub-call route

  Scenario: A route whose calls enter at several services is not a sub-call route
    When 30 calls on a route enter at nodes of "portal"
    And 20 calls on a route enter at nodes of "stock"
    Then the route is not classified as a sub-call route

  Scenario: A route with few calls is not classified
    When 10 calls on a route enter at nodes of "portal"
    Then the route is not classified as a sub-call route

  Scenario: A route is classified again when its use changes
    When 390 calls on a route enter at nodes of "portal"
    And 60 calls on a route enter at nodes of "stock"
    Then the route is not classified as a sub-call route

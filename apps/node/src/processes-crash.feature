@processes
Feature: A request that crashes upstreams, with real processes
  Guards against a caller that crashes one upstream after the other, and against
  harm to the other callers.

  Scenario: A request that crashes its upstream kills at most two of a process fleet
    Given a process fleet of 4 instances under a load of 40 calls a second
    When a process fleet caller sends a crashing request 12 times and upstreams are restarted
    Then at most 2 process fleet upstreams died and the request is refused with 1609
    And only process fleet reads in flight at the crashed upstreams failed, and succeed when repeated

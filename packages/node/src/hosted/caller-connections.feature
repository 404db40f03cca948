@hosted
Feature: Connections of callers
  Guards against a node that runs out of descriptors while callers that repeat on
  new channels keep the old ones.

  Scenario: Answers end their connections while many are open
    Given a caller server of a process with 50 descriptors
    When 30 callers connect to the caller server and ask once
    Then 10 of them saw that their connection ends
    And the caller server refuses the connections beyond 40 of 45

  Scenario: A node that stands still lets few connections wait
    Guards against a node that is seconds behind the connections of its callers,
    accepts each of them after its caller has left, and serves none.
    Given a listener for callers
    When 200 callers connect to it while its event loop stands still for 500 ms
    Then at most 80 of them were connected meanwhile

@calls
Feature: Detection of upstream crashes
  Guards against a stalled node that marks a healthy upstream as down and
  quarantines its calls.

  Scenario: An upstream that accepts connections is not marked as down by a stalled node
    Given a crash detector for an upstream that accepts connections
    When the crash detector is told of a lost request and the node stalls for 400 ms
    Then the upstream of the crash detector is not marked as down
    And the crash detector reports no suspect requests

  Scenario: An upstream that refuses connections is marked as down
    Given a crash detector for an upstream that refuses connections
    When the crash detector is told of a lost request and the node stalls for 0 ms
    Then the upstream of the crash detector is marked as down

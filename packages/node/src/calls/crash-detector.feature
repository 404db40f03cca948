@calls
Feature: Detection of upstream crashes
  Guards against a stalled node that marks a healthy upstream as down and
  quarantines the requests whose connections to that upstream were lost.

  Scenario: An upstream that accepts connections is not marked as down by a stalled node
    Given a crash detector for an upstream that accepts connections
    When the connection of a request to the upstream is lost and the event loop blocks for 400 ms
    Then the upstream of the crash detector is not marked as down
    And the crash detector passes no requests to the quarantine

  Scenario: An upstream that refuses connections is marked as down
    Given a crash detector for an upstream that refuses connections
    When the connection of a request to the upstream is lost and the event loop blocks for 0 ms
    Then the upstream of the crash detector is marked as down

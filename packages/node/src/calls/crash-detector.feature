@calls
Feature: Death of the own upstream
  Guards against a sound upstream that is taken out, and calls that are quarantined,
  because the node itself was late.

  Scenario: An upstream that takes connections is not dead when the node is late
    Given a crash detector beside an upstream that takes connections
    When a request is lost there and the node stands still for 400 ms
    Then the upstream of the crash detector is not marked as down
    And no request of the crash detector is suspect

  Scenario: An upstream that refuses connections is dead
    Given a crash detector beside an upstream that refuses connections
    When a request is lost there and the node stands still for 0 ms
    Then the upstream of the crash detector is marked as down

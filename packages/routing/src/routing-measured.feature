@routing
Feature: Measured bounds of routing decisions
  Seeded queueing models compare each decision with a baseline written for the
  purpose. The baseline must miss the bound, or the model proves nothing.

  Scenario: routing keeps p99 low with one slow instance
    When routing runs the pool with a "slow" instance
    Then routing p99 of "picker" is at most 1.5 times that of a healthy pool
    And routing p99 of "roundRobin, leastConnections" is above that bound

  Scenario: routing keeps p99 low with an instance that reports false load
    When routing runs the pool with a "falseLoad" instance
    Then routing p99 of "picker" is at most 1.5 times that of a healthy pool
    And routing p99 of "believesReports, roundRobin" is above that bound

  Scenario: routing sends few calls to an instance that answers errors fast
    When routing runs the pool with a "fastErrors" instance
    Then routing sends at most 2% of the calls of "picker" to that instance
    And routing sends more of "leastConnections, fixedThreshold" to it

  Scenario Outline: routing keeps goodput at twice the capacity
    When routing loads a server of 12 slots that announces <announced>
    Then routing goodput at twice the capacity is at least 90% with "admission"
    And routing goodput at twice the capacity is below that with "<baseline>"

    Examples:
      | announced | baseline   |
      | 12        | unbounded  |
      | 24        | fixedLimit |

  Scenario: routing retries do not multiply over 14 levels
    When routing runs a chain of 14 levels whose deepest service fails
    Then routing calls to the deepest service stay below 1.15 per call
    And routing calls exceed that with either limit turned off

  Scenario: routing quarantines a request after its second crash
    When routing runs 5 nodes with a crashing request that its callers repeat
    Then routing sees 2 crashes and no innocent request is quarantined
    And routing sees more crashes without notices or quarantine

@routing
Feature: Routing decisions in simulation
  Seeded queueing models compare each algorithm with a simpler baseline. The
  baseline must miss the bound; otherwise the model does not test the algorithm.

  Scenario: routing keeps p99 low with one slow instance
    When routing runs the simulated pool with a "slow" instance
    Then routing p99 of "picker" is at most 1.5 times that of a healthy pool
    And routing p99 of "roundRobin, leastConnections" is above the same bound

  Scenario: routing keeps p99 low with an instance that reports false load
    When routing runs the simulated pool with a "falseLoad" instance
    Then routing p99 of "picker" is at most 1.5 times that of a healthy pool
    And routing p99 of "believesReports, roundRobin" is above the same bound

  Scenario: routing sends few calls to an instance that fails fast
    When routing runs the simulated pool with a "fastErrors" instance
    Then routing sends at most 2% of the calls to that instance with "picker"
    And routing with "leastConnections, fixedThreshold" sends a larger share of the calls to that instance

  Scenario Outline: routing keeps goodput at twice the capacity
    When routing loads a server that has 12 slots and announces <announced>
    Then routing goodput at twice the capacity is at least 90% with "admission"
    And routing goodput at twice the capacity is below that share with "<baseline>"

    Examples:
      | announced | baseline   |
      | 12        | unbounded  |
      | 24        | fixedLimit |

  Scenario: routing retries do not multiply over 14 levels of a call chain
    When routing runs a call chain of 14 levels whose deepest service fails
    Then routing calls the deepest service less than 1.15 times per root call
    And routing calls the deepest service more often if either retry limit is disabled

  Scenario: routing quarantines a request after its second crash
    When routing runs 5 nodes while callers repeat a request that crashes the upstream
    Then routing allows 2 crashes and quarantines no other request
    And routing allows more crashes without notices or without the quarantine

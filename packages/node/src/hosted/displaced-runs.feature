@hosted
Feature: Rollout orders that an older one of a copy displaces
  Guards against a version that was taken back and gets calls again: a node that
  started after an order takes the older one of a copy for new, and then the newer
  one, written again, as well.

  Background:
    Given a node whose rollout to "v4" was rolled back in era 1

  Scenario: An ended rollout is not begun again when its order is written again
    When the order to "v3" of a copy takes its place in era 2
    And the order to "v4" is written again in era 2
    Then the rollout of the node to "v4" is still rolled back

  Scenario: An equal order that no drill has displaced begins a rollout
    When the order to "v3" takes its place in era 1
    And the order to "v4" is written again in era 1
    Then the node runs a rollout to "v4"

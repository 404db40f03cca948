@hosted
Feature: Odd entries of other writers
  Guards against a node that ends again and again, or no longer follows the store or
  its upstream, because another writer left one entry that cannot be used.

  Scenario Outline: A hosted node goes on beside an odd entry: <entry>
    Given a store with the entry "<key>" of <entry>
    When a hosted node process runs with that store
    Then it is ready within 8000 ms after a configuration was written
    And the hosted node process is still the one that was started

    Examples:
      | key                     | entry                    |
      | verbenabeam/nodes/other | a port out of range      |
      | verbenabeam/nodes/other | a negative port          |
      | verbenabeam/nodes/other | a number too large       |
      | verbenabeam/nodes/other | no address               |
      | verbenabeam/nodes/other | a deeply nested value    |
      | verbenabeam/nodes/other | bytes that are no text   |
      | op/rollout/other        | a deeply nested value    |
      | op/rollout/other        | an order without an end  |
      | op/other                | a deeply nested value    |
      | op/other                | bytes that are no text   |

  Scenario Outline: A hosted node goes on after an odd heartbeat: <heartbeat>
    Given a store with the entry "op/none" of no address
    And a hosted node process runs with that store
    And it is ready within 8000 ms after a configuration was written
    When its upstream's heartbeat has <heartbeat>
    Then a request at the hosted node is answered by its upstream
    And the hosted node process is still the one that was started

    Examples:
      | heartbeat                |
      | a port out of range      |
      | an address out of range  |
      | a start in the far future |
      | a sequence too large     |
      | a sequence far ahead     |
      | a deeply nested service  |

@hosted
Feature: Compression of operator records between nodes
  Guards against large documents that saturate the links of the nodes that forward them.

  Scenario: A large operator record is sent in a fifth of its bytes and restored unchanged
    Given an operator record of 2000 routes
    Then the operator record is compressed to at most a fifth of its bytes
    And the operator record is unchanged after decompression
    And the operator record is compressed only once for several sends

  Scenario: A compressed operator record that expands above the limit is refused
    Given an operator record of 5000000 equal bytes
    Then the decompression of the operator record fails

@hosted
Feature: Operators' records between nodes
  Guards against large documents that fill the links of the nodes that pass them on.

  Scenario: A large operator record travels in a fifth of its bytes and arrives whole
    Given an operator record of 2000 routes
    Then it is packed in at most a fifth of its bytes
    And it is unpacked as it was
    And it is packed once however often it is sent

  Scenario: A packed operator record that grows too large is refused
    Given an operator record of 5000000 bytes that are all the same
    Then the packed operator record is refused

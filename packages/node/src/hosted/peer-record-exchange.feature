@hosted
Feature: Records that peers told of
  Guards against a node that stays behind because it heard of a newer revision while
  it asked for an older one, or because the peer that told of it has it no more.

  Scenario: A revision that is told of while a peer is asked is asked for next
    Given a node that asks its peers for records
    When peer "b" tells of revision 5, and peer "c" of revision 6 while "b" is asked
    Then the node holds revision 6 after it asked "b, c"
    And the store was not asked

  Scenario: A revision that no peer can give is read from the store
    Given a node that asks its peers for records
    When peer "b" tells of revision 5 that no peer can give
    Then the node asked 3 peers and the store once

  Scenario: Records of a peer that cannot be unpacked change nothing
    Given a node that asks its peers for records
    When peer "b" tells of revision 5 and sends bytes that cannot be unpacked
    Then the node asked 3 peers and the store once
    And the node holds revision 0

  Scenario: Records of a peer that grow too large together change nothing
    Guards against a short answer of a peer that unpacks to more than a node holds.
    Given a node that asks its peers for records
    When peer "b" tells of revision 5 and sends 5 records of 4000000 bytes
    Then the node asked 3 peers and the store once
    And the node holds revision 0

@hosted
Feature: Records that peers announce
  Guards against a node that stays behind because a peer announces a newer revision
  during a pull, or because the peer that announced a revision cannot deliver it.

  Scenario: A node pulls a revision that is announced during another pull
    Given a node that pulls records from its peers
    When peer "b" announces revision 5, and peer "c" announces revision 6 during the pull from "b"
    Then the node holds revision 6 after pulls from "b, c"
    And the node does not read the store

  Scenario: A node reads the store if no peer can deliver a revision
    Given a node that pulls records from its peers
    When peer "b" announces revision 5 and no peer can deliver it
    Then the node pulls from 3 peers and reads the store once

  Scenario: Records that cannot be decompressed are ignored
    Given a node that pulls records from its peers
    When peer "b" announces revision 5 and sends bytes that cannot be decompressed
    Then the node pulls from 3 peers and reads the store once
    And the node holds revision 0

  Scenario: Records that expand above the total limit are ignored
    Guards against a short answer that expands to more than the memory of a node.
    Given a node that pulls records from its peers
    When peer "b" announces revision 5 and sends 5 records of 4000000 bytes
    Then the node pulls from 3 peers and reads the store once
    And the node holds revision 0

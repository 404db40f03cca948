@moves
Feature: Version moves between nodes
  Guards against stops that do not reach every node, evidence that is counted
  twice, new nodes that serve calls without the move records, and capacity that is
  estimated from the calls of one node.

  Scenario: A stop reaches each node of each data centre once
    Given a moves mesh of 40 nodes in data centre "a" and 30 in "b"
    When a node of the moves mesh takes the move back
    Then each node of the moves mesh has the stop
    And no node of the moves mesh got the stop from more than one peer

  Scenario: Evidence reaches a controller that is unknown to every relay, once
    Given moves evidence senders with 2 relays in each of 3 data centres
    When each moves evidence sender adds 10 calls and all flush for 8 s
    Then 300 calls have arrived at the moves controller node
    And no moves evidence is in transit

  Scenario: Evidence without a controller does not circulate
    Given moves evidence senders with 2 relays in each of 3 data centres
    And no moves evidence sender is the controller
    When each moves evidence sender adds 10 calls and all flush for 8 s
    Then 0 calls have arrived at the moves controller node
    And no moves evidence is in transit

  Scenario: A new node is synchronised by a peer
    Given a moves mesh of 2 nodes in data centre "a" and 0 in "b"
    When a new node joins the moves mesh
    Then the new moves node has the record before it serves

  Scenario: A new node without a response is not synchronised
    Given a moves mesh of 2 nodes in data centre "a" and 0 in "b"
    When a new node joins a moves mesh that does not respond
    Then the new moves node does not serve yet

  Scenario: A new node reads the records of planned moves from the store
    Guards against merging the record of a former move, which would override the
    current version that the document names.
    When a new node without peers finds the moves records in the store
    Then the new moves node has the record before it serves

  Scenario: Calls that are spread unevenly over entry nodes do not distort the capacity
    When a moves controller driver gets 180, 10 and 10 calls/s of 60 ms from three nodes
    Then the moves capacity share of 6 ready slots is 0.4

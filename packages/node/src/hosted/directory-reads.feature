@hosted
Feature: Reads and entries of the node directory
  Guards against store calls that grow with the square of the fleet or repeat for
  each node, and against parts of a fleet that do not find each other.

  Scenario Outline: <nodes> nodes that start together find each other with few calls
    Given a node directory whose cheap reads are 3000 ms old
    When <nodes> nodes of the directory start together
    Then after 4000 ms all nodes of the directory are in one part
    And at most <listed> nodes of the directory are listed
    And the directory has cost at most <cost> calls

    Examples:
      | nodes | listed | cost |
      | 1     | 1      | 20   |
      | 12    | 4      | 30   |
      | 195   | 12     | 300  |
      | 1260  | 40     | 1700 |

  Scenario: A node that starts later reads the directory once, cheaply
    Given a node directory whose cheap reads are 3000 ms old
    When 12 nodes of the directory start together
    And 10000 ms later one more node of the directory starts
    Then after 200 ms all nodes of the directory are in one part
    And the last node of the directory has cost at most 0.2 calls

@runs @stops
Feature: Caller connections during a planned stop
  Guards against a stopped node that still answers requests on an open connection,
  which also keeps its process alive.

  Scenario: a stopped node answers no open connection
    Given a planned stop caller with an open connection to a node
    When the node stops as planned during an upload of that caller
    Then the planned stop upload was refused with 1605 and its connection closed

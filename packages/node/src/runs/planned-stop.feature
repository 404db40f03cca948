@runs @stops
Feature: Caller connections during a planned stop
  Guards against a stopped node that still answers requests on an open connection,
  which also keeps its process alive, and against calls without an answer when the
  time of a stop is over.

  Scenario: a stopped node answers no open connection
    Given a planned stop caller with an open connection to a node
    When the node stops as planned during an upload of that caller
    Then the planned stop upload was refused with 1605 and its connection closed

  Scenario: a stop whose time is over answers the calls in flight
    Given a planned stop caller with an upload in flight at a node whose stop waits 300 ms
    When the node stops as planned and the upload does not end
    Then the planned stop upload was refused with 1605 and its connection closed

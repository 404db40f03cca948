@wire @frame-reader
Feature: Reading frames from a connection
  Guards against bytes that are lost, repeated or given to another stream when
  the reads of a connection do not end where its frames end.

  Scenario: A wire reader finds the same frames however its bytes arrive
    Given wire reader bytes of frames and chunks on two streams
    When the wire reader takes them in pieces of 1 to 400 bytes
    Then each time the wire reader passes on the same frames and chunks
    And the wire reader passes on a chunk before it is whole

  Scenario: A wire reader refuses a chunk over the limit before its bytes
    When a wire reader takes the first bytes of a chunk over its limit
    Then the wire reader fails with "wire.frameTooLarge" and passes on nothing

@wire-streams
Feature: Chunks of a body that wait
  Guards against a body in chunks of one byte, whose objects use up the memory of the
  node long before the limits on its bytes, and against bytes that are lost or reordered.

  Scenario: A chunk list holds one-byte chunks in a few objects
    When 1000000 chunks of one byte wait in a chunk list
    Then the chunk list has at most 250 objects and all bytes in order

  Scenario: A chunk list gives back chunks of any size in order
    Then a chunk list that is filled and emptied at random has all bytes in order

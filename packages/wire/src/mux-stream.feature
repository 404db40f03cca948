@wire-streams
Feature: Small chunks of wire streams that wait
  Guards against a body in chunks of one byte, whose objects take 200 times the memory of
  its bytes while its stream is not read or has no credit.

  Scenario: Small chunks of a wire stream that is not read are joined
    Given a wire stream that is paused
    When 100000 chunks of one byte arrive on that wire stream, then its end
    Then the resumed wire stream has all bytes in order before its end, in at most 30 chunks
    And the wire stream has returned credit for them

  Scenario: Small chunks of a wire stream without credit are joined
    Given a wire stream without credit
    When 100000 chunks of one byte are written to that wire stream, then its end
    Then with credit the wire stream sends all bytes in order before its end, in at most 30 chunks

  Scenario: Chunks of a wire stream that pauses at random stay in order
    Then a wire stream that is paused and gets credit at random passes all bytes on in order

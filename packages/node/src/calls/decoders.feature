@calls
Feature: Decoders of what other nodes send
  Guards against a malformed message of a peer that ends the process. By hand
  `VERBENABEAM_FUZZ_CASES=100000` tries more cases.

  Scenario Outline: A decoder of peers' messages never throws: <message>
    When the decoder of a peer's <message> gets arbitrary values
    Then the decoder has returned a result for each value

    Examples:
      | message       |
      | call head     |
      | response head |
      | trailer       |
      | load          |
      | gossip        |

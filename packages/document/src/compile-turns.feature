@document
Feature: Compilation of large documents in turns
  Guards against a node that answers no call and no probe for 0.2 to 0.3 s while
  it compiles a document of 1 MB.

  Scenario: A large document is compiled and compared in many turns
    Then a large document of 999000 bytes is compiled in at least 30 turns
    And the difference of two large documents is found in at least 20 turns

  Scenario: A large document means the same as when it is parsed as a whole
    Guards against a text whose meaning depends on where it is split.
    Then a large document gives the same result in parts and as a whole with:
      | part                     | code |
      | nothing else             | 0    |
      | lines that end in CRLF   | 0    |
      | policy and callers last  | 0    |
      | a multi-line array       | 0    |
      | a comment with U+2028    | 0    |
      | a header in a string     | 1104 |
      | a service twice          | 1101 |
      | the policy twice         | 1101 |
      | services after a service | 1101 |
      | routes as a table        | 1101 |
      | an inline service        | 1101 |
      | an unknown key           | 1103 |
      | an unknown service       | 1107 |
      | a syntax error           | 1101 |

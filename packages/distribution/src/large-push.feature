@distribution
Feature: Distribution of large documents
  Guards against a change of 1 MB that is not active everywhere within 10 s,
  because each node of a push tree compiles it before it forwards it.

  Scenario: A large push is forwarded before it is compiled
    Given a distribution driver that gets a push of a large document
    Then the large distribution push is forwarded at once and is not active yet
    When the large distribution document arrives again, and a peer shows it
    Then the large distribution version is not pulled
    And the large distribution version becomes active, forwarded once and compiled once

@distribution
Feature: Version tracker

  Scenario Outline: The version tracker refuses what must not be applied
    Guards against a node that goes back or serves a text nobody accepted.
    Given a distribution tracker at version 5
    When the distribution tracker is offered <offer>
    Then the distribution tracker refuses with code <code> and keeps version 5

    Examples:
      | offer                        | code |
      | version 4                    | 1201 |
      | version 5                    | 1201 |
      | version 5 with another text  | 1204 |
      | version 6 that is no TOML    | 1203 |
      | version 6 with another hash  | 1206 |
      | version 6 of the environment trial | 1207 |

  Scenario: A node reports a version that it cannot compile
    Given a distribution tracker at version 5
    When the distribution tracker is offered version 6 that is no TOML
    Then the distribution status reports code 1203 with cause 1101
    When the distribution tracker is offered version 7
    Then the distribution status reports no problem at version 7

  Scenario: The store's head is compared and an older one not followed
    Given a distribution tracker at version 5
    Then the distribution tracker reports code 1205 for a store at version 4
    And the distribution tracker reports code 1205 for an empty store
    And the distribution tracker reports code 1204 for a store with another version 5

  Scenario Outline: Broken guarantees are found inside the program
    Guards against a fault of the program that refusals do not catch.
    Then the distribution invariant <code> is reported for <fault>

    Examples:
      | code | fault                         |
      | 9002 | a route with a foreign service |
      | 9003 | a document with a lost route  |
      | 9010 | an accepted version that is not active |

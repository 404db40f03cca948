@distribution
Feature: Distribution of versions

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

  Scenario: The push tree reaches every member once
    Guards against subtrees that no node serves.
    Then the distribution tree reaches 186 members once within depth 3

  Scenario: A starting node waits for the highest version
    Guards against a restarted node that serves an older version than before.
    Then the distribution start is complete as this table says:
      | store | answers   | unreachable | peers | complete | highest |
      | down  |           | 0           | 5     | no       | 0       |
      | asked | 4 4 4 4 4 | 0           | 5     | no       | 4       |
      | 3     | 3 4       | 0           | 5     | no       | 4       |
      | 3     | 3 4 3     | 0           | 5     | yes      | 4       |
      | 3     |           | 0           | 0     | yes      | 3       |
      | down  | 4 4       | 0           | 5     | no       | 4       |
      | down  | 4 4 4     | 0           | 5     | yes      | 4       |
      | down  | 4 4 3     | 0           | 5     | no       | 4       |
      | down  | 4 3       | 3           | 5     | yes      | 4       |
      | down  |           | 5           | 5     | no       | 0       |
      | down  | 0 0 0     | 0           | 5     | no       | 0       |

  Scenario: Full texts served at once are capped
    Guards against a node that fills its link after a mass restart.
    Then the distribution cap serves 4 of 100 full texts at once
    And the distribution cap spreads the retry times of the others

  Scenario: Pulls are answered by delta, full text, busy or nothing
    Guards against full texts where a delta would do.
    Then a distribution pull from the last version is answered by a delta
    And a distribution pull from nothing is answered by the full text
    And a distribution pull over the cap is answered by a time to wait
    And a distribution pull from the same version is answered by nothing

  Scenario: A push whose delta does not fit leads to a pull
    Guards against a node that stays behind because it missed a version.
    Then a distribution push with a foreign base is forwarded and pulled
    And a distribution push with a damaged text is not applied

  Scenario: A duplicate push is forwarded once for each root
    Guards against pushes that multiply in the tree.
    Then a distribution push that arrives twice is forwarded once

  Scenario: The relay policy takes, renews and gives up a slot
    Guards against a paused relay that believes in its expired lease.
    Then the distribution relay waits a random time before it takes a slot
    And the distribution relay renews after 3 seconds and ends after 10

@distribution
Feature: Distribution of versions

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

  Scenario: A starting node asks peers as soon as it knows them
    Guards against a node that refuses calls for up to 2 s after its start,
    because it knew no peer when it asked first.
    Then a distribution start asks 2 peers at once when they become known

  Scenario: A restarted node does not serve the version of a lagging peer
    Guards against a proxy that goes back over a restart.
    Then a distribution node with version 4 is not ready while the store shows 5
    And a distribution node with version 4 is not ready before the store responds
    And a distribution node with version 5 is ready when the store shows 5

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

  Scenario: A relay that stops returns its slot
    Guards against a planned stop that leaves a data centre with one relay until
    the lease ends, 10 s later.
    Then the distribution relay returns its slot when it stops
    And the distribution relay that stops during a take keeps no slot

  Scenario: A relay lets the push of the acceptor arrive first
    Guards against a second and third push tree of each change; full texts of
    100 KB were sent about 2.5 times per node.
    Then the distribution relay that gets the push while it waits reads no version
    And the distribution relay that gets no push reads the version and pushes it

  Scenario: Malformed messages are refused
    Guards against a node that fails on a message of another release.
    Then each malformed distribution message is refused with code 1211

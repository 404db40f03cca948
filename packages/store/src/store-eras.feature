@store
Feature: Eras of the store
  Guards against changes that are taken for old since a store that came back from a
  copy gives out its revisions again, and against a false era that takes the store's
  true answers out of use.

  Scenario Outline: A position orders by era first: <lower> is below <higher>
    Then the store position <lower> is below <higher>

    Examples:
      | lower         | higher        |
      | 0:1000000     | 1:1           |
      | 1:9           | 1:10          |
      | 1:1099511627775 | 2:0         |
      | 1:9 kept      | 1:10          |
      | 1:9           | 1:9 kept      |
      | 4094:9 kept   | 4095:1099511627775 |

  Scenario: Store positions survive being sent as numbers
    Then store positions of any era and revision are decoded as they were encoded

  Scenario: A store without eras keeps its revisions as positions
    Then the store position 0:4294967297 is the number 4294967297

  Scenario Outline: What a store tells of its era: <told>
    When the store tells the eras "<told>" in its answers
    Then the store eras verdicts are "<verdicts>"
    And the store era is <era> after <begun> new eras and <dropped> dropped answers

    Examples:
      | told          | verdicts                                          | era | begun | dropped |
      | - - -         | current current current                           | 0   | 0     | 0       |
      | 3 3           | current current                                   | 3   | 0     | 0       |
      | 1 2 2 1       | current unconfirmed current old                   | 2   | 1     | 1       |
      | 1 9 1 9 1     | current unconfirmed current unconfirmed current   | 1   | 0     | 0       |
      | 1 - x 2.5 1   | current current current current current           | 1   | 0     | 0       |
      | 1 5 5         | current unconfirmed current                       | 5   | 1     | 0       |
      | 1 5000 5000   | current current current                           | 1   | 0     | 0       |
      | 2 1 1         | current old old                                   | 2   | 0     | 2       |

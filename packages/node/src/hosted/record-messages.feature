@hosted
Feature: Messages on operators' records between builds with and without eras
  Guards against a fleet of two builds in which one cannot read the revisions of the
  other.

  Scenario Outline: A pull of <from> gets what it lacks
    Given records of a peer at "<held>"
    When a build <build> eras pulls what is newer than "<from>"
    Then the pull gets records at "<got>" as the build reads them

    Examples:
      | held          | build   | from | got           |
      | 0:10 0:20     | without | 0:10 | 0:20          |
      | 0:10 0:20     | with    | 0:10 | 0:20          |
      | 1:10 1:20     | with    | 1:10 | 1:20          |
      | 1:10 1:20     | without | 0:10 | 0:20          |
      | 2:10 2:11     | with    | 1:20 | 2:10 2:11     |

  Scenario: A starting node gets what differs, though its highest position is higher
    Given records of a peer at "2:8 2:10"
    When a starting node that holds the last of them and another at "2:30" pulls
    Then the pull gets records at "2:8" as the build reads them

  Scenario Outline: What nodes announce of position <position>
    Then a notice of "<position>" is read as "<position>" by a build with eras
    And a notice of "<position>" is the number <plain> for a build without eras
    And a probe with "<position>" is read as "<position>" with eras and as <plain> without

    Examples:
      | position              | plain          |
      | 0:7                   | 7              |
      | 2:10                  | 10             |
      | 4095:1099511627775    | 1099511627775  |

Feature: Result codes
  Guards against two meanings of one number and a table that is out of date.

  Scenario: Every result code is unique and in the table of the docs
    Given the core result codes
    Then each code number and name occurs once
    And each exit status is between 0 and 125
    And the table in "docs/RESULT_CODES.md" matches the codes

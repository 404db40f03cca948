@bench
Feature: The sweep on the capacity page
  Guards against figures on the page that no run has produced.

  Scenario: The report of a sweep becomes a table with the first limit
    Given the journal entry of a finished sweep
    Then the sweep section has the figures of each size and names the first limit

  Scenario Outline: An entry that is no finished sweep gives no figures: <entry>
    Given the journal entry of <entry>
    Then the sweep section says that nothing was measured

    Examples:
      | entry               |
      | a sweep that failed |
      | another command     |

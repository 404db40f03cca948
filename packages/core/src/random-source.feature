@core
Feature: Seeded random numbers
  Guards against seeds whose first numbers are nearly equal; the first number
  of the seeds 1 to 1,000 was above 0.999 once.

  Scenario: The first numbers of small seeds are spread
    When the core sources of the seeds 1 to 1000 give their first number
    Then each tenth of the core range holds 60 to 140 of the numbers

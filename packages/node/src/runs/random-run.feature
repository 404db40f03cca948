@runs
Feature: Randomised operations and faults
  Runs random operations and faults against complete nodes with upstreams and a
  store in one process. `VERBENABEAM_LONG=1` runs `VERBENABEAM_RUNS` more seeds,
  starting with `VERBENABEAM_SEED`.

  Scenario: random operations and faults break no guarantee
    When random runs of 70 steps are made with 6 seeds from 101
    Then no random run broke a guarantee
    And the random runs had answers, refusals, repeated writes and cut calls

  @long
  Scenario: long random runs break no guarantee
    When long random runs of 150 steps are made
    Then no random run broke a guarantee

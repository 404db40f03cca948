@hosted
Feature: Drills of the store in random runs
  Guards against a fleet that goes by the revisions of a store that came back from a
  copy. By hand `VERBENABEAM_DRILL_STEPS=1000000` makes that many steps, with the seeds
  from `VERBENABEAM_SEED`.

  Scenario: A fleet keeps its promises over random faults without drills
    When a fleet takes 1000 random steps without drills of its store
    Then the random steps of the fleet have broken no promise

  Scenario: A fleet keeps its promises over random drills of its store
    When a fleet takes 2000 random steps with drills of its store
    Then the random steps of the fleet have broken no promise

  Scenario Outline: A seed of drills that has failed: <seed>, <cause>
    When a fleet takes 500 random steps of seed <seed> with drills of its store
    Then the random steps of the fleet have broken no promise

    Examples:
      | seed | cause                                                          |
      | 1    | a node starts from the copy beside peers that hold more        |
      | 4    | a node that misses the end of a rollout keeps its first share  |
      | 7    | a result that the copy lacks is begun again by another node    |
      | 11   | an order that is written again acts twice                      |
      | 13   | a result that the copy lacks is not written again              |

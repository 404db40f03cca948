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
      | seed | cause                                                           |
      | 5    | a node that starts serves the copy beside peers that hold more  |
      | 12   | an order that an older one of a copy displaces has no result    |
      | 13   | an order is taken up from a copy of where it was written again  |
      | 14   | an order that an older one of a copy displaced begins anew      |
      | 34   | an order of a copy that is newer than the last is passed over   |
      | 49   | an order is passed over where it was before a copy displaced it |
      | 55   | an order written again at its old revision is passed over       |

  Scenario Outline: A drill costs the store no more calls in a larger fleet: <nodes> nodes
    Guards against a herd of reads, leases and watches when all nodes see a new era.
    When the stores of fleets of 12 and of <nodes> nodes come back from a copy
    Then the drill costs at most 20% more calls for each watcher in the larger fleet
    And the fleets make at most 300 calls of the store within a second of the drill
    And all nodes of the fleets have the configuration written after the drill

    Examples:
      | nodes |
      | 30    |

    @long
    Examples:
      | nodes |
      | 195   |

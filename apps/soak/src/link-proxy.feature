@soak
Feature: Links of the soak
  Guards against links that pass a reset on as an ordinary end, after which a node can
  only take a part of an answer for the whole one. Under load the
  process of the soak itself stands still.

  Scenario Outline: A soak link with a delay of <ms> ms passes on how its server <how>
    Given a soak peer that sends an answer without a length and then <how>
    And a soak link to it with a delay of <ms> ms
    When a soak caller calls it 20 times
    Then each of these soak calls is "<end>"

    Examples:
      | how                                                  | ms | end        |
      | ends                                                 | 0  | answered   |
      | ends                                                 | 80 | answered   |
      | resets at once                                       | 0  | cut midway |
      | resets at once                                       | 80 | cut midway |
      | resets after 50 ms                                   | 0  | cut midway |
      | resets after 50 ms in which its process stands still | 0  | cut midway |
      | resets after 50 ms in which its process stands still | 80 | cut midway |

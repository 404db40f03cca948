@moves
Feature: Analysis and schedule of a rollout that lasts some seconds
  Guards against bad versions that keep their share, good versions that are
  taken back because of noise, and versions that fail only after most traffic
  has shifted to them.

  Scenario Outline: A rollout with <what> is taken back
    When a rollout counts <fresh> new responses with <bad> bad in <ms> ms and <old> old responses with <oldBad> bad in 60 ms
    Then the rollout finding is "<finding>"

    Examples:
      | what               | fresh | bad | ms  | old  | oldBad | finding |
      | half errors        | 12    | 6   | 60  | 400  | 2      | errors  |
      | every second slow  | 20    | 0   | 270 | 400  | 2      | slow    |
      | timeouts, overload | 24    | 12  | 60  | 400  | 80     | errors  |

  Scenario Outline: A rollout with <what> continues
    When a rollout counts <fresh> new responses with <bad> bad in <ms> ms and <old> old responses with <oldBad> bad in 60 ms
    Then the rollout finding is "none"

    Examples:
      | what                     | fresh | bad | ms  | old | oldBad |
      | usual errors             | 100   | 1   | 60  | 400 | 4      |
      | cold upstreams           | 40    | 0   | 120 | 400 | 2      |
      | a failing service        | 20    | 6   | 60  | 400 | 120    |
      | too few responses        | 3     | 3   | 60  | 400 | 2      |

  Scenario: One route of a rollout is enough to take it back
    When a rollout has 100 good new responses on one route and 8 bad of 12 on another
    Then the rollout finding is "errors"

  Scenario Outline: A rollout of <seconds> s stays within the limit for a bad version
    When a rollout of <seconds> s with <rate> calls a second runs to its end
    Then the new version got at most 0.1 of the calls and 50 before the rollout could finish
    And the rollout could finish before its end

    Examples:
      | seconds | rate |
      | 12      | 160  |
      | 16      | 555  |
      | 18      | 64   |

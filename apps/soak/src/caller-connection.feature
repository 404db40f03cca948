@soak
Feature: Connections of the soak's callers
  Guards against a check that takes a part of an answer for the whole one: soak seed 13.

  Scenario Outline: A soak caller learns how an answer without a length ended: <how>
    Given a soak peer that sends an answer without a length and then <how>
    When a soak caller calls it 20 times
    Then each of these soak calls is "<end>"

    Examples:
      | how                | end        |
      | ends               | answered   |
      | resets at once     | cut midway |
      | resets after 50 ms | cut midway |

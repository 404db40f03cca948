@calls
Feature: Small parts of a body
  Guards against bodies in chunks of a few bytes, whose objects take many times the
  memory of their bytes, and against bytes that are lost or reordered when they are joined.

  Scenario Outline: Parts of one turn are passed on whole, in order and joined
    Given a receiver of joined parts that takes <taken>
    When 20000 parts of <bytes> come, 700 in each turn
    Then the receiver of joined parts has all bytes in order, in at most <most> parts

    Examples:
      | taken                | bytes       | most  |
      | all                  | 1 byte      | 30    |
      | all                  | 100 bytes   | 600   |
      | all                  | mixed sizes | 20000 |
      | one part, then waits | 1 byte      | 30    |
      | one part, then waits | mixed sizes | 20000 |

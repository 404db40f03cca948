@hosted
Feature: Load of a hosted node
  Guards against refusals of which nobody can say whether slots or processor
  time were short.

  Scenario: A second of load is told with its calls, slots and busy loop
    Given a load watch of a node whose loop is busy for 0.83 of the time
    When 3 calls end there, 1 of them refused
    And calls of "orders" leave their slots after 40 and 80 ms
    And its window ends
    Then its line says "busyPercent" is 83
    And its line says "calls" is 3
    And its line says "refused" is 1
    And its line says "held" is "orders 2 calls 60 ms"
    And its line says "answered" is "orders 2 calls 90 ms"
    And its line says "waits" is "queue 4 calls 15 ms"
    And its line says "turns" is 430
    And its line says "lateMs" is 62

  Scenario: A second without calls has no line
    Given a load watch of a node whose loop is busy for 0.02 of the time
    When its window ends
    Then it has written no line

@routing
Feature: Slots and queue of an upstream under overload
  Guards against a queue in which all calls wait until they are late, calls that
  are held and refused at the end, and urgent calls behind less urgent ones.

  Scenario Outline: Answers on time stay near the capacity at <load> times the load
    When a slot queue with 11 slots gets <load> times its capacity for 10 s
    Then the slot queue answers at least 75 in 100 of its capacity on time
    And the slot queue refuses at most 2 in 100 calls after a long wait

    Examples:
      | load |
      | 1.2  |
      | 2.5  |

  Scenario Outline: Callers that return late do not take the slots of new ones at <load> times the load
    When callers that return once load a slot queue with 11 slots at <load> times its capacity
    Then the slot queue answers at least 75 in 100 of its capacity on time
    And without the time that callers waited it answers fewer of them

    Examples:
      | load |
      | 1.2  |
      | 2    |

  Scenario: A returning caller is known by its path and the end of its time
    Guards against a new call that is taken for one that has waited.
    When a call that began at 1000 ms with 480 ms failed at 1020 ms
    Then a call to the same path at 1100 ms with 377 ms left has waited 100 ms
    And a call to the same path at 1100 ms with 460 ms left has waited 0 ms

  Scenario: A caller without a time limit is a new one
    When a call that began at 1000 ms with no time limit failed at 1020 ms
    Then a call to the same path at 1100 ms with no time limit has waited 0 ms

  Scenario: Urgent calls are served before less urgent ones
    When a slot queue with 11 slots gets urgent and other calls at 2 times its capacity
    Then the slot queue serves at least 97 in 100 urgent calls on time

  Scenario: More calls than slots never run
    When a slot queue with 3 slots gets 10 calls at once
    Then 3 calls run in the slot queue

  Scenario: A call that cannot be answered in time is refused at once
    Given a slot queue with 1 slot whose calls take 100 ms and 3 calls in it
    When a call with 150 ms left enters the slot queue
    Then the slot queue refuses it and names a time to return

  Scenario: Bodies that arrive count as calls that wait
    Guards against more bodies on their way to a node than its upstream can serve
    in time: they fill the link and the event loop for nothing.
    Given a slot queue with 11 slots whose calls take 80 ms and all run
    When 50 calls with a target of 200 ms announce their bodies to it
    Then at most 12 of the announced calls may send their bodies
    And once these are withdrawn as many others may

@routing
Feature: Slot queue of an upstream under overload
  Guards against three faults: every call waits in the queue until it is late;
  calls are refused only after a long wait; urgent calls wait behind less urgent
  calls.

  Scenario Outline: Responses on time stay near the capacity at <load> times the capacity
    When a slot queue with 11 slots gets <load> times its capacity for 10 s
    Then the slot queue answers at least 75 in 100 of its capacity on time
    And the slot queue refuses at most 2 in 100 calls after a long wait

    Examples:
      | load |
      | 1.2  |
      | 2.5  |

  Scenario Outline: Retries of callers do not take the slots of new calls at <load> times the capacity
    When callers that retry once load a slot queue with 11 slots at <load> times its capacity
    Then the slot queue answers at least 75 in 100 of its capacity on time
    And the slot queue answers more calls on time than one that treats retries as new calls

    Examples:
      | load |
      | 1.2  |
      | 2    |

  Scenario: A retry of a caller is recognised by its path and deadline
    Guards against a new call that is treated as a retry.
    When a call that began at 1000 ms with a timeout of 480 ms failed at 1020 ms
    Then a call to the same path at 1100 ms with 377 ms left counts as a retry of a call that began 100 ms ago
    And a call to the same path at 1100 ms with 460 ms left counts as a new call

  Scenario: A call without a deadline is treated as a new call
    When a call that began at 1000 ms without a deadline failed at 1020 ms
    Then a call to the same path at 1100 ms without a deadline counts as a new call

  Scenario: Urgent calls are answered on time under overload
    When a slot queue with 11 slots gets urgent and other calls at 2 times its capacity
    Then the slot queue serves at least 97 in 100 urgent calls on time

  Scenario: No more calls run than there are slots
    When a slot queue with 3 slots gets 10 calls at once
    Then the slot queue runs 3 calls

  Scenario: A call that cannot be answered in time is refused at once
    Given a slot queue with 1 slot, a service time of 100 ms and 3 calls in it
    When a call with 150 ms left enters the slot queue
    Then the slot queue refuses the call and returns a retry delay

  Scenario: Calls whose bodies are still arriving count as queued
    Guards against receiving more bodies than the upstream can serve in time, which
    wastes bandwidth and time of the event loop.
    Given a slot queue with 11 slots, all in use, and a service time of 80 ms
    When 50 calls with bodies and a target of 200 ms are announced to the slot queue
    Then the slot queue allows the bodies of at most 12 of these calls
    And after the allowed calls are withdrawn the slot queue allows the bodies of as many other calls

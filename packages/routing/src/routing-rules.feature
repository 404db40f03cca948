@routing
Feature: Rules of routing decisions

  Scenario: routing ejects at most half and doubles the backoff
    Given a routing picker with 4 instances
    When routing sees each instance unreachable
    Then routing still chooses among 2 instances
    And routing ejects instance "0" for 1000, 2000, 4000 and 8000 ms in turn

  Scenario: routing prefers the own data centre and overflows under load
    Given a routing picker with 4 instances
    Then routing chooses the own data centre while it is idle
    And routing chooses the other data centre when the own one is busy

  Scenario: routing starts a new instance slowly
    Given a routing picker with 4 instances
    Then routing sends a new instance under half of a full share in 1 s

  Scenario: routing admission keeps its rules in random histories
    When routing admission runs 300 random histories
    Then routing admission decided each call once and ran none too late

  Scenario: routing refuses before it runs when draining or out of time
    Then routing admission refuses with 1606 a call that cannot end in time
    And routing admission refuses with 1605 queued and new calls on drain
    And routing admission forgets a queued call that was cancelled
    And routing admission takes the newest call first under overload

  Scenario: routing retries only what is safe
    Then routing retries by this table
      | notRun | idempotent | suspect | left | decision       |
      | false  | false      | false   | 2    | mayHaveRun     |
      | true   | false      | false   | 2    | granted        |
      | false  | true       | false   | 2    | granted        |
      | false  | true       | true    | 2    | suspect        |
      | false  | true       | false   | 0    | noAttemptsLeft |
    And routing stops at the deadline and at a spent budget

  Scenario: routing quarantine blames no innocent request
    Then routing clears a request that was answered after a crash
    And routing clears the others when a crash has an explanation
    And routing runs one suspect at a time and refuses others with 1615
    And routing agrees whatever the order and repetition of notices
    And routing keeps at most 100 suspects under 10000 fingerprints

  Scenario: routing reads headers strictly
    Then routing accepts the deadline header "250" and refuses "-1,1e3,x,9999999"

  Scenario: Long streams do not lower the limit of routing admission
    Guards against calls refused as 1604 on an idle instance whose streams end.
    Given a routing admission with 12 slots whose calls take 2 ms
    When 20 routing streams of 5 s end one after the other
    Then the routing admission still admits 12 calls at once

  Scenario: Noise of some milliseconds does not lower the limit of routing admission
    Guards against refusals under light load on a busy machine.
    Given a routing admission with 12 slots whose calls take 2 ms
    When 100 routing calls take 9 ms
    Then the routing admission still admits 12 calls at once

  Scenario: Streams in flight do not use up a lowered limit of routing admission
    Guards against refusals as 1604 while streams run on a busy machine.
    Given a routing admission with 12 slots whose calls take 2 ms
    When 9 routing streams are answered and 100 routing calls take 9 ms
    Then the routing admission still admits 3 calls at once
    And the routing admission queues one call more

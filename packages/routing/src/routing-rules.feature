@routing
Feature: Rules of routing decisions

  Scenario: routing ejects at most half of the instances and doubles the ejection time
    Given a routing picker with 4 instances
    When routing finds each instance unreachable
    Then routing still chooses among 2 instances
    And routing ejects instance "0" for 1000, then 2000, 4000 and 8000 ms

  Scenario: routing prefers the local data centre and uses another one under load
    Given a routing picker with 4 instances
    Then routing chooses the local data centre while it is idle
    And routing chooses the other data centre when the local one is busy

  Scenario: routing increases the share of a new instance slowly
    Given a routing picker with 4 instances
    Then routing sends a new instance less than half of a full share after 1 s

  Scenario: routing admission keeps its rules in random sequences of calls
    When routing admission runs 300 random sequences of calls
    Then routing admission decided once on each call and started none after its deadline

  Scenario: routing admission refuses calls that cannot run or end in time
    Then routing admission refuses a call that cannot end in time with 1606
    And routing admission refuses queued and new calls with 1605 when it drains
    And routing admission removes a queued call that is cancelled
    And routing admission admits the newest call first under overload

  Scenario: routing retries only calls that are safe to repeat
    Then routing decides on retries by this table
      | notRun | idempotent | suspect | left | decision       |
      | false  | false      | false   | 2    | mayHaveRun     |
      | true   | false      | false   | 2    | granted        |
      | false  | true       | false   | 2    | granted        |
      | false  | true       | true    | 2    | suspect        |
      | false  | true       | false   | 0    | noAttemptsLeft |
    And routing does not retry after the deadline or without budget

  Scenario: routing quarantines only the request that causes the crashes
    Then routing clears a suspect request that is answered later
    And routing clears the other suspects when the cause of a crash is known
    And routing runs one suspect at a time and refuses the others with 1615
    And routing reaches the same result for any order and repetition of notices
    And routing keeps at most 100 of 10000 suspects

  Scenario: routing rejects malformed deadline headers
    Then routing accepts the deadline header "250" and refuses "-1,1e3,x,9999999"

  Scenario: Long streams do not lower the limit of routing admission
    Guards against calls that an idle instance refuses with 1604 after long streams.
    Given a routing admission with 12 slots and a service time of 2 ms
    When 20 routing streams of 5 s run one after another
    Then the routing admission still admits 12 concurrent calls

  Scenario: Delays of some milliseconds do not lower the limit of routing admission
    Guards against refusals under light load on a busy machine.
    Given a routing admission with 12 slots and a service time of 2 ms
    When 100 routing calls take 9 ms each
    Then the routing admission still admits 12 concurrent calls

  Scenario: Streams in flight do not use up a lowered limit of routing admission
    Guards against refusals with 1604 while streams run on a busy machine.
    Given a routing admission with 12 slots and a service time of 2 ms
    When 9 routing streams start their responses and 100 routing calls take 9 ms each
    Then the routing admission still admits 3 concurrent calls
    And the routing admission queues one more call

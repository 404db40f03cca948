@calls
Feature: Scheduling of calls on a busy node

  Scenario: A node that keeps up starts calls immediately
    Given a call scheduler whose calls take 1 ms to start
    When the call scheduler receives 3 calls in each of 20 polls
    Then the call scheduler started each call in the poll that read it

  Scenario: An overloaded node starts few calls that were cancelled
    Guards against a node that stays overloaded after a restart: it reads requests
    that are seconds old, and reads each cancellation only after it has forwarded
    the request.
    Given a call scheduler whose calls take 2 ms to start
    When the call scheduler receives 200 calls in each of 10 polls and their cancellations one poll later
    Then the call scheduler started at most 1% of the calls
    And without a time limit per turn the call scheduler starts all calls

  Scenario: Waiting connections are accepted before calls are started
    Guards against a node that starts calls a second late for seconds after a
    restart, because each turn accepts one connection and also starts calls.
    Given a call scheduler whose calls take 2 ms to start
    When callers of the call scheduler open 200 connections a second for 3 s behind a backlog of 300 and disconnect after 170 ms
    Then at most 5% of the calls that the call scheduler started are stale
    And more than 50% are stale if connections are not reported to the call scheduler

  Scenario: A busy node starts every call that is not cancelled
    Given a call scheduler whose calls take 2 ms to start
    When the call scheduler receives 200 calls in one poll that are not cancelled
    Then the call scheduler started all calls in order
    And the call scheduler spent at most 12 ms of each turn on starts

  Scenario: Promptly read calls do not wait on a busy node
    Guards against calls that hold slots while their sub-calls wait for more polls
    and behind calls of new callers.
    Given a call scheduler whose calls take 2 ms to start
    When the call scheduler receives 200 calls in one poll that are not cancelled
    And the call scheduler receives 20 more polls of 5 calls, each with one promptly read call
    Then the call scheduler started each promptly read call in the poll that read it
    And the call scheduler spent at most 12 ms of each turn on starts

  Scenario: The time limit per turn applies to promptly read calls as well
    Given a call scheduler whose calls take 2 ms to start
    When the call scheduler receives 200 promptly read calls in one poll
    Then the call scheduler started all calls in order
    And the call scheduler spent at most 12 ms of each turn on starts

  Scenario: Calls from other nodes are not deferred by an accept backlog
    Guards against a node with a scarce upstream that reads calls for it in time,
    but starts them only after the connections and calls of its own callers.
    Given a call scheduler in a loop that accepts a connection and reads its call in every turn
    When the call scheduler also receives 100 calls from other nodes
    Then the call scheduler started each of these within 20 ms
    And the call scheduler also started calls of its own callers

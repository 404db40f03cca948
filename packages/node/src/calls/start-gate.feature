@calls
Feature: Start of calls at a busy node

  Scenario: A node that keeps up starts calls at once
    Given a start gate whose calls take 1 ms to start
    When the start gate reads 3 calls in each of 20 polls
    Then each start gate call was started in the poll that read it

  Scenario: A node that is behind starts few calls whose callers have left
    Guards against a node that stays behind after a restart: it read requests of
    the last seconds, and the end of each only after it had been sent on.
    Given a start gate whose calls take 2 ms to start
    When the start gate reads 200 calls a poll for 10 polls and their ends one poll later
    Then at most 1% of the start gate calls were started
    And with no bound of the time in a turn all of them are started

  Scenario: Connections that wait are accepted before calls are started
    Guards against a node that is a second behind its callers for seconds after a
    restart, because each turn accepts one connection and starts calls meanwhile.
    Given a start gate whose calls take 2 ms to start
    When callers open 200 connections a second for 3 s after 300 wait, and leave after 170 ms
    Then at most 5% of the calls that the start gate started had callers that left
    And if it does not know of connections more than 50% had

  Scenario: A busy node starts every call that goes on
    Given a start gate whose calls take 2 ms to start
    When the start gate reads 200 calls in one poll that do not end
    Then all start gate calls were started in their order
    And no turn spent more than 12 ms with start gate calls

  Scenario: Calls that were read in time do not wait at a busy node
    Guards against slots that are held while the calls of running calls wait for
    more polls and behind new callers.
    Given a start gate whose calls take 2 ms to start
    When the start gate reads 200 calls in one poll that do not end
    And a call that was read in time comes with each of the next 20 polls of 5 calls
    Then each start gate call that was read in time was started in the poll that read it
    And no turn spent more than 12 ms with start gate calls

  Scenario: Calls that were read in time are bounded as well
    Given a start gate whose calls take 2 ms to start
    When the start gate reads 200 calls that were read in time in one poll
    Then all start gate calls were started in their order
    And no turn spent more than 12 ms with start gate calls

  Scenario: Calls from other nodes do not wait behind connections of callers
    Guards against a node beside a scarce upstream that reads calls for it in time
    and starts them after the connections and calls of its own callers.
    Given a start gate whose turns all accept a connection and read its call
    When 100 calls from other nodes are read there among them
    Then the start gate kept none of these for more than 20 ms
    And it started calls of its own callers meanwhile

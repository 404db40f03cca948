@store
Feature: Client of the key-value store
  Guards against writes that run twice, writes reported as not applied although
  they were, and clients that overload a store that has just come back.

  Scenario: A lost response is settled by reading back
    Given a memory store
    When the memory store loses the next 1 responses and a settled put runs
    Then the settled put is committed and the key was written 1 time
    When the memory store loses the next 1 responses and another writer is first
    Then the settled put reports a conflict

  Scenario: A write that is still in transit at the first read takes effect once
    Given a memory store
    When a settled put times out before its write reaches the memory store
    Then the settled put is committed and the key was written 1 time

  Scenario: A write whose key was replaced is not reported as lost
    Given a memory store
    When the memory store loses a response and another writer replaces the key
    Then the settled put has an unknown outcome

  Scenario: The memory store shows each fault of the platform's store
    Given a memory store
    Then the memory store fails as not applied while it is down
    And the memory store rejects calls over its rate
    And the memory store deletes the keys of an expired lease and reports it
    And the memory store returns to an older state and ends its watches
    And the memory store rejects a value over 1 MB

  Scenario: The breaker opens with full jitter and admits one trial
    Given store breakers with 200 seeds
    When the store breakers see 5 failures
    Then the store breakers refuse calls for waits spread over 0 to 200 ms
    And each store breaker admits exactly one trial call and then closes

  Scenario: The budget of a role limits its calls
    Given a store budget of 10 calls per second
    Then the store budget admits 30 of 1000 calls spread over 2 seconds

  Scenario: The budget of a node shrinks with the number of nodes
    Guards against nodes that together exceed what the store allows them.
    Given a store budget of 10 calls per second
    When the store budget is shared by 5 times as many nodes
    Then the store budget admits 6 of 1000 calls spread over 2 seconds

  Scenario: A read moves to the next endpoint and a write does not
    Given a store gateway that drops every request and one that responds
    Then the http store reads a key from the second store gateway
    And an http store write to the dropping store gateway is unknown and not sent again
    And an http store write to a closed port is sent to the next store gateway

  Scenario: A silent gateway does not exceed the time limit
    Given a store gateway that never responds
    Then the http store read fails as unavailable within 400 ms
    And the http store write is unknown within 400 ms
    And the http store breaker opens and refuses without a call

  Scenario Outline: A gateway that answers without an end is cut off: <call>
    Guards against a node that keeps a reply until its memory is used up.
    Given a store gateway that answers without an end
    When the http store makes the call <call> within 15000 ms
    Then the http store call fails with <code> before its time limit
    And the endless store gateway has sent at most <bytes> bytes

    Examples:
      | call  | code | bytes     |
      | list  | 1301 | 100000000 |
      | txn   | 1302 | 100000000 |
      | watch | 1301 | 33000000  |

  Scenario: A long watch line is read in time that grows with its length
    Given a store gateway whose watch line of 4000000 bytes comes in pieces of 1000
    Then the http store watch takes the line in less than 2000 ms of processor time

  Scenario: A store that was restored to an older state is noticed
    Given store revisions that have seen revision 100
    Then an overtaken response does not make the store revisions go back
    And a response below the known store revision is noticed until it is confirmed
    And store revisions of peers are merged in any order

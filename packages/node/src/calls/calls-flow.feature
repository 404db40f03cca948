@calls
Feature: Queued, claimed and retried calls
  Guards against traffic to a version after its move was stopped, requests that
  run twice or that run although they are reported as refused, and leaked slots.

  Scenario: A retried call chooses its version again
    Given 2 call-flow nodes
    When a call-flow request is sent to a version without instances and then to "v1"
    Then the call-flow request succeeds after attempts at "v2, v1"

  Scenario: A queued call is not dispatched after its move was stopped
    Given 2 call-flow nodes with 1 slot and a queue of 1
    When a call-flow request queues at node 2 and the move to its version is stopped
    Then the call-flow request succeeds after attempts with codes "1616, 1600"
    And call-flow node 2 ran 1 call

  Scenario: A call chooses its version after its claim was granted
    Given 2 call-flow nodes
    When a move to "v2" is stopped while a call-flow request waits for its claim
    Then the call-flow request succeeds after attempts at "v1"

  Scenario: Calls follow the move gate
    Given a call-flow move gate with a move at full share
    Then the call-flow move gate chooses the new version if it has an instance and the old one otherwise
    And after a stop the call-flow move gate chooses the old version and refuses the new one

  Scenario Outline: A call whose claim is <claim>
    Given 2 call-flow nodes
    When the claim of a call-flow request is "<claim>"
    Then the call-flow request ends with status <status> and code <code> and ran <runs> times

    Examples:
      | claim       | status | code | runs |
      | granted     | 200    | 1600 | 1    |
      | inProgress  | 409    | 1703 | 0    |
      | kept        | 201    | 1600 | 0    |
      | notKept     | 409    | 1704 | 0    |
      | unknown     | 409    | 1705 | 0    |
      | unavailable | 503    | 1702 | 0    |

  Scenario: A claim granted after the deadline is released as not run
    Given 2 call-flow nodes
    When a call-flow claim is granted after its deadline
    Then the call-flow request ends with status 504 and code 1606 and ran 0 times
    And the call-flow claim was released as not run
    And the call-flow request runs when it is repeated

  Scenario: A call that is repeated at another node runs once
    Given 2 call-flow nodes with shared claims
    When a call-flow request with a key is sent to node 1 and then to node 2
    Then both call-flow responses are the same and the key ran once

  Scenario Outline: A call that the quarantine refuses with <code>
    Given 2 call-flow nodes
    When the quarantine of both call-flow nodes refuses with <code>
    Then the call-flow request ends with status 503 and code <code> and ran 0 times
    And the call-flow request made <attempts> attempts

    Examples:
      | code | attempts |
      | 1609 | 1        |
      | 1615 | 2        |

  Scenario: A call that is cancelled in the queue leaves it
    Given 2 call-flow nodes with 1 slot and a queue of 1
    When a call-flow request queues at node 2 and its caller aborts
    Then the queue of call-flow node 2 is empty before the running call ends
    And call-flow node 2 ran 1 call

  Scenario: A slot that is granted to a cancelled call is released
    Given a call-flow admission with 1 slot
    When queued call-flow calls are cancelled before and after the grant
    Then the call-flow admission is empty and admits the next call

@calls
Feature: Calls that wait or are sent again
  Guards against traffic to a version after its move was stopped, requests that
  run twice or against a false refusal, and slots that leak.

  Scenario: A repeated wait call asks for the version again
    Given 2 wait nodes
    When a wait call is sent to a version that nobody serves and then to "v1"
    Then the wait call is answered after attempts at "v2, v1"

  Scenario: A wait call that queued is not sent after the stop
    Given 2 wait nodes with 1 slot and a queue of 1
    When a wait call queues at node 2 and the move to its version is stopped
    Then the wait call is answered after attempts with codes "1616, 1600"
    And wait node 2 ran 1 call

  Scenario: A wait call chooses its version after its claim
    Given 2 wait nodes
    When a move to "v2" is stopped while a wait call waits for its claim
    Then the wait call is answered after attempts at "v1"

  Scenario: Wait calls follow the gate of the moves
    Given a wait gate with a move at full share
    Then the wait gate chooses the new version with an instance and else the old
    And after a stop the wait gate chooses the old version and refuses the new

  Scenario Outline: A wait call whose claim is <claim>
    Given 2 wait nodes
    When a wait call gets the claim "<claim>"
    Then the wait call ends with <status> and <code> and ran <runs> times

    Examples:
      | claim       | status | code | runs |
      | granted     | 200    | 1600 | 1    |
      | inProgress  | 409    | 1703 | 0    |
      | kept        | 201    | 1600 | 0    |
      | notKept     | 409    | 1704 | 0    |
      | unknown     | 409    | 1705 | 0    |
      | unavailable | 503    | 1702 | 0    |

  Scenario: A claim granted after the deadline is released as not run
    Given 2 wait nodes
    When the claim of a wait call is granted after its deadline
    Then the wait call ends with 504 and 1606 and ran 0 times
    And its claim was released as not run
    And the wait call runs when it is repeated

  Scenario: A wait call that is repeated at another node runs once
    Given 2 wait nodes with the same claims
    When a wait call with a key is sent to node 1 and then to node 2
    Then both wait answers are the same and the key ran once

  Scenario Outline: A wait call that is refused with <code> by the quarantine
    Given 2 wait nodes
    When the quarantine of both wait nodes refuses with <code>
    Then the wait call ends with 503 and <code> and ran 0 times
    And the wait call made <attempts> attempts

    Examples:
      | code | attempts |
      | 1609 | 1        |
      | 1615 | 2        |

  Scenario: A wait call that is cancelled in the queue leaves it
    Given 2 wait nodes with 1 slot and a queue of 1
    When a wait call queues at node 2 and its caller goes away
    Then the queue of wait node 2 is empty before the running call ends
    And wait node 2 ran 1 call

  Scenario: A wait slot that is granted and cancelled at once is free again
    Given a wait admission with 1 slot
    When its queued wait call is cancelled before and after the grant
    Then the wait admission is empty and admits the next call

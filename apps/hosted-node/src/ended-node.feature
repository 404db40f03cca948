@hosted
Feature: A hosted node that ends while answers without a length have no end
  Guards against the part of an answer that looks complete to its caller, since the
  system closes the connections of a process that ends in the usual way.

  Scenario Outline: A hosted node that ends leaves no part of an endless answer that looks complete: <callers> callers, <signal>
    Given a hosted node process as it is deployed, beside an upstream with 60 slots
    And its upstream answers with a body of no length without an end
    When <callers> callers wait for that answer and the hosted node process gets <signal> after 2000 ms
    Then no caller of an endless answer has a complete success

    Examples:
      | callers | signal  |
      | 3       | SIGKILL |
      | 24      | SIGKILL |
      | 24      | SIGABRT |
      | 24      | SIGTERM |

  Scenario: A killed hosted node leaves no part of a long answer that its caller has not read
    Given a hosted node process as it is deployed, beside an upstream with 60 slots
    And its upstream ends an answer of 12000000 bytes with its connection
    When a caller that reads nothing is sent that answer and the hosted node process is killed
    Then that caller has all of the answer or no complete success

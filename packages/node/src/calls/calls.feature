@calls
Feature: Data path of calls
  Guards against answers that are truncated or reach another caller, refusals
  that say "not run" about requests that ran, double runs, and cut streams.

  Scenario: Data path answers reach their own callers whole
    Given 2 data path nodes that send to each other and to themselves
    When 400 data path calls of random size and time run at once
    Then each data path caller got its own whole answer
    And no data path call ran twice

  Scenario: Data path refusals that say not run are true
    Given 3 data path nodes whose upstreams have 2 slots and shed
    And data path admission allows 3 slots and a queue of 1
    When 300 data path writes are sent in bursts of 30
    Then some data path writes succeeded and some were refused as not run
    And each data path refusal as not run had no run
    And no data path call ran twice

  Scenario: Data path drain cuts no stream and refuses new calls
    Given 2 data path nodes that send to node 2
    When data path node 2 drains while 5 streams run
    Then each data path caller got its own whole answer
    And a data path call to node 2 is refused with 1605 as not run

  Scenario: A leaving upstream gets no new data path call
    Given 2 data path nodes that send to node 2
    When the data path upstream of node 2 leaves
    Then a data path call to node 2 is refused with 1605 as not run

  Scenario: An upstream killed in the middle of an answer
    Given 2 data path nodes that send to node 2
    When the data path upstream of node 2 dies while it answers
    Then the data path caller sees a cut answer and not a whole one
    And the data path quarantine learns of the request
    And a data path call to node 2 is refused with 1614 as not run

  Scenario: An upstream killed before its answer
    Given 2 data path nodes that send to each other and to themselves
    When a data path request crashes its upstream
    Then the data path answer is 502 with 1607 and may have run
    And the data path request ran once

  Scenario Outline: A serving node lost before the answer to <path>
    Given 2 data path nodes that send to each other and to themselves
    When data path node 2 is lost while it runs "<path>"
    Then the data path answer is <status> with <code>

    Examples:
      | path   | status | code |
      | /read  | 200    | 1600 |
      | /write | 502    | 1607 |

  Scenario: A data path caller that goes away frees the upstream
    Given 2 data path nodes that send to node 2
    When a data path caller goes away after 50 ms
    Then the data path upstream of node 2 is free within 500 ms
    And the data path record of the call says 1612

  Scenario: A data path deadline ends the call
    Given 2 data path nodes that send to node 2
    When a data path call of 2000 ms has a deadline of 80 ms
    Then the data path answer is 504 with 1608
    And the data path upstream of node 2 is free within 500 ms
    And a data path call with a deadline of 0 ms is refused with 1606 as not run

  Scenario: Data path refusals before any attempt
    Given 2 data path nodes that send to node 2
    Then data path refusals are
      | path  | header          | value | status | code |
      | /none | vb-depth        | 1     | 404    | 1601 |
      | /read | vb-depth        | 33    | 508    | 1610 |
      | /read | vb-deadline-ms  | soon  | 400    | 1611 |
      | /read | vb-retries-left | -1    | 400    | 1611 |
      | /keyed| vb-depth        | 1     | 400    | 1701 |
    And without a configuration the data path refuses with 1603

  Scenario: A slow data path caller blocks only itself
    Given 2 data path nodes that send to node 2
    When a data path caller does not read an answer of 40000000 bytes
    Then other data path calls are answered meanwhile
    And the slow data path caller gets its whole answer in the end

  Scenario: A large data path body is passed on while it arrives
    Given 2 data path nodes that send to each other and to themselves
    When a data path body of 3000000 bytes is echoed through each node
    Then each data path caller got its own whole answer

  Scenario: A data path key runs once
    Given 2 data path nodes that send to node 2
    When a data path write with the key "k1" is sent 3 times
    Then each data path answer is the first one
    And the data path upstream ran the key "k1" 1 time

@calls
Feature: Data path of calls
  Guards against truncated responses, responses that reach another caller,
  refusals as "not run" of requests that ran, requests that run twice, and streams
  that a drain interrupts.

  Scenario: Each data path caller receives its own complete response
    Given 2 data path nodes that forward to all of them
    When 400 concurrent data path calls of random size and duration are made
    Then each data path caller received its own complete response
    And no data path call ran twice

  Scenario: No data path request ran that was refused as not run
    Given 3 data path nodes whose upstreams shed load and have 2 slots
    And the data path admission of each node allows 3 slots and a queue of 1
    When 300 data path writes are sent in bursts of 30
    Then some data path writes succeeded and some were refused as not run
    And no data path write that was refused as not run had run
    And no data path call ran twice

  Scenario: A data path drain completes open streams and refuses new calls
    Given 2 data path nodes that forward to node 2
    When data path node 2 drains while it serves 5 streaming responses
    Then each data path caller received its own complete response
    And a data path call to node 2 is refused with 1605 as not run

  Scenario: A draining upstream gets no new data path call
    Given 2 data path nodes that forward to node 2
    When the data path upstream of node 2 starts to drain
    Then a data path call to node 2 is refused with 1605 as not run

  Scenario: An upstream crashes in the middle of a response
    Given 2 data path nodes that forward to node 2
    When the data path upstream of node 2 crashes while it responds
    Then the data path caller sees that the response is truncated
    And the data path quarantine records the request
    And a data path call to node 2 is refused with 1614 as not run

  Scenario: An upstream crashes before its response
    Given 2 data path nodes that forward to all of them
    When a data path request crashes its upstream
    Then the data path response is 502 with 1607 and may have run
    And the data path request ran once

  Scenario Outline: A serving node is lost before its response to <path>
    Given 2 data path nodes that forward to all of them
    When data path node 2 loses its connections while it runs "<path>"
    Then the data path response is <status> with <code>

    Examples:
      | path   | status | code |
      | /read  | 200    | 1600 |
      | /write | 502    | 1607 |

  Scenario: The upstream stops work when a data path caller disconnects
    Given 2 data path nodes that forward to node 2
    When a data path caller disconnects 50 ms after its call began to run
    Then the data path upstream of node 2 is idle within 500 ms
    And the data path record of the call has code 1612

  Scenario: A data path call ends at its deadline
    Given 2 data path nodes that forward to node 2
    When a data path call of 2000 ms has a deadline of 80 ms
    Then the data path response is 504 with 1608
    And the data path upstream of node 2 is idle within 500 ms
    And a data path call with a deadline of 0 ms is refused with 1606 as not run

  Scenario: Data path refusals before any attempt
    Given 2 data path nodes that forward to node 2
    Then data path calls are refused as follows
      | path  | header          | value | status | code |
      | /none | vb-depth        | 1     | 404    | 1601 |
      | /read | vb-depth        | 33    | 508    | 1610 |
      | /read | vb-deadline-ms  | soon  | 400    | 1611 |
      | /read | vb-retries-left | -1    | 400    | 1611 |
      | /keyed| vb-depth        | 1     | 400    | 1701 |
    And without a configuration a data path call is refused with 1603

  Scenario: A slow data path caller does not block others
    Given 2 data path nodes that forward to node 2
    When a data path caller does not read a response of 40000000 bytes
    Then other data path calls are still answered
    And the slow data path caller gets its complete response

  Scenario: A large data path body is forwarded as it arrives
    Given 2 data path nodes that forward to all of them
    When a data path body of 3000000 bytes is echoed through each node
    Then each data path caller received its own complete response

  Scenario: Writes with the same data path idempotency key run once
    Given 2 data path nodes that forward to node 2
    When a data path write with idempotency key "k1" is sent 3 times
    Then each data path response equals the first one
    And the data path upstream ran key "k1" 1 time

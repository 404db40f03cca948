@calls
Feature: Deadline checks after the wait for a connection
  Guards against calls that run after their deadline: a call may wait for a connection
  to another node or to the upstream after its deadline was checked.

  Scenario: A call that gets its upstream connection too late is not sent
    Given a serving node whose upstream connects after 150 ms
    When calls with 100 ms and 400 ms left arrive at that serving node
    Then the call with 100 ms left was refused with 1606 and not sent to the upstream
    And the call with 400 ms left was sent to the upstream

  Scenario: The wait for a connection to another node is deducted from a call's remaining time
    Given a peer node to which connecting takes 200 ms
    When an attempt with 500 ms left is sent to that peer node
    Then the head of that attempt has at most 310 ms left

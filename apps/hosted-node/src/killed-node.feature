@hosted
Feature: A hosted node that is killed while it passes on an answer
  Guards against the first part of an answer that looks complete to its caller: when
  a process ends, the system closes its connections as if all had been sent.

  Scenario Outline: A killed hosted node leaves no answer of <bytes> bytes that looks complete
    Given a hosted node process whose upstream ends answers with their connection
    And its upstream has sent <bytes> bytes of an answer and works on
    When the hosted node process is killed
    Then its caller has no complete answer

    Examples:
      | bytes  |
      | 100    |
      | 200000 |

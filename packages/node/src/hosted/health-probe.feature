@hosted
Feature: Health probes of upstreams
  Guards against a faulty upstream whose answer to a probe takes the processor time of
  the node.

  Scenario Outline: A health probe takes an answer for what it is: <answer>
    Given a probed upstream that answers with <answer>
    Then its health probe finds "<health>"

    Examples:
      | answer                         | health     |
      | its id                         | serving    |
      | its id and an endless body     | serving    |
      | its id after an early hint     | serving    |
      | the id of another one          | notServing |
      | an error                       | notServing |
      | nothing                        | unknown    |

  Scenario Outline: A health probe reads little of an endless answer: <answer>
    Given a probed upstream that answers with <answer>
    Then its health probe finds "unknown"
    And the probed upstream could send at most 16 MB

    Examples:
      | answer                  |
      | empty lines             |
      | a reason phrase         |
      | fields                  |
      | informational responses |

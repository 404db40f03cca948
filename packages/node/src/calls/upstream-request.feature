@calls
Feature: Responses of upstreams that are read slowly
  Guards against a connection that ends while its response is paused, after which the
  call has no result and the process counts an unexpected error.

  Scenario Outline: A paused upstream response whose connection ends has a result: <framing>, <end>
    Given an upstream that sends 3000000 bytes with <framing> and then <end>
    When 10 upstream requests read its responses with pauses of 5 ms
    Then each upstream request has the result "<result>"

    Examples:
      | framing                | end           | result      |
      | no length              | ends          | whole       |
      | no length              | resets        | lost        |
      | a length and a close   | ends          | whole       |
      | a longer length and a close | ends     | lost        |
      | a longer length and a close | resets   | lost        |
      | a longer length        | resets        | lost        |

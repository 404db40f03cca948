@hosted
Feature: Upstreams that send without an end
  Guards against a faulty upstream whose answers use up the memory or the processor
  time of the node beside it, so that all calls on that node end with it.

  Scenario Outline: A hosted node outlives an upstream that floods all callers: <answer>
    Given a hosted node process as it is deployed, beside an upstream with 60 slots
    And its upstream answers with <answer> without an end
    When 60 callers get that answer for 2000 ms, each once in 10 ms at most
    Then the hosted node process runs and has never had more than 200 MB

    Examples:
      | answer                                  |
      | small fields in a head                  |
      | small fields in a head that stops short |
      | small fields in a trailer               |
      | long fields in a head                   |
      | empty lines before a head               |
      | a reason phrase                         |
      | zeros of a chunk size                   |
      | a chunk extension                       |
      | informational heads                     |
      | chunks of one byte                      |
      | chunks of one byte with long extensions |

  Scenario Outline: A flooding upstream leaves the node time for other calls: <answer>
    Given a hosted node process as it is deployed, beside an upstream with 60 slots
    And its upstream answers with <answer> without an end
    When 12 callers get that answer for 2000 ms, each once in 100 ms at most
    Then the hosted node process has used at most 0.54 of a core
    And all other calls at the hosted node process were answered

    Examples:
      | answer                                  |
      | small fields in a head                  |
      | small fields in a head that stops short |
      | small fields in a trailer               |
      | long fields in a head                   |
      | empty lines before a head               |
      | a reason phrase                         |
      | zeros of a chunk size                   |
      | a chunk extension                       |
      | informational heads                     |
      | chunks of one byte                      |
      | chunks of one byte with long extensions |

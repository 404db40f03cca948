@upstream-standin
Feature: Upstream stand-in
  Guards against a stand-in that hides the faults which tests rely on: false
  run counts, refusals that ran, and stops that cut requests.

  Scenario: A stand-in counts each run by call and key
    Given a stand-in upstream with 2 slots
    When stand-in call "a" with key "k" is sent 2 times
    Then the stand-in counts 2 runs of call "a" and 2 of key "k"

  Scenario: A stand-in sheds without running
    Given a stand-in upstream with 1 slots and a queue of 1
    When 5 stand-in requests of 50 ms arrive at once
    Then 2 stand-in requests ran and 3 were shed as not run

  Scenario: A stand-in refuses while cold and announces its states
    Given a stand-in upstream with a cold start of 100 ms and a node
    Then the stand-in refuses as not run until it announced "ready"

  Scenario: A stand-in that stops announces it and finishes its requests
    Given a stand-in upstream with a cold start of 1 ms and a node
    When the stand-in stops while a request of 100 ms runs
    Then the stand-in request is answered and "leaving" was announced

  Scenario: A stand-in notices cancellation and short deadlines
    Given a stand-in upstream with 2 slots
    When a stand-in request of 5000 ms is cancelled
    Then the stand-in frees its slot within 500 ms
    And a stand-in request with a deadline of -1 ms is refused as not run

  Scenario Outline: A stand-in fault <kind> <start> acts only when it should
    Given a stand-in upstream with the fault <kind> <start>
    Then stand-in path "/good" answers <before> and "/bad" answers <after>

    Examples:
      | kind  | start   | before | after |
      | error | at-once | 500    | 500   |
      | error | later   | 200    | 200   |
      | error | route   | 200    | 500   |

  Scenario: A stand-in crash cuts its connections
    Given a stand-in upstream with 2 slots
    When a stand-in request crashes it
    Then the stand-in cannot be reached

@hosted
Feature: Retry budget of hosted nodes
  Guards against more repeated arrivals at a service than the platform allows: its
  share is one of the calls from outside, not of those that upstreams make.

  Scenario: Sub-calls of a service earn no retries for it
    Given 21 hosted nodes whose retry share is 0.2 and whose minimum is 35
    When in 10 s 2200 calls from outside and 4600 sub-calls come to a service that refuses all
    Then the hosted nodes make at most 475 retries

  Scenario: An entry node learns from instances which calls are sub-calls
    Given two data path nodes, of whose routes only upstreams call "read"
    When 2 calls of "read" and 2 of "write" are made at the first of them
    Then its retry budget has counted 1 sub-call and 3 calls from outside

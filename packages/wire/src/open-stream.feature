@wire-open
Feature: Streams to a connected peer
  Guards against work for each call that only a new connection needs.

  Scenario: A stream to a connected peer is opened in the turn that asks for it
    Given two wire buses that are not connected
    Then a wire stream is not opened at once
    When a wire stream has connected the two buses
    Then a wire stream is opened at once and its peer gets the head "now"

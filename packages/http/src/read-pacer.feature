@http
Feature: Pace of bodies in small parts
  Guards against an upstream whose bodies in parts of one byte take the processor time
  of all other calls, and against such bodies that are cut or stall.

  Scenario: Endless chunks of one byte leave time for other responses
    Given an http upstream with endless chunks of one byte on 6 connections
    When a paced client reads them for 1000 ms
    Then at most 155000 small parts were read, some on each connection
    And another response on a connection of the paced client is whole meanwhile

  Scenario Outline: A long body in chunks of one byte is slow, but whole: <reader>
    Given an http upstream with 150000 chunks of one byte on 1 connections
    Then a paced client that <reader> has all of them

    Examples:
      | reader                 |
      | reads at once          |
      | pauses now and then    |
      | gets a close after it  |

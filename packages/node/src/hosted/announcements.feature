@hosted
Feature: Listener of announcements
  Guards against a sender whose announcement is read without an end.

  Background:
    Given a listener of announcements of at most 4096 bytes

  Scenario: The connection of an announcement that does not end is closed
    When an announcement of 64000000 bytes is sent to it
    Then its connection is closed after at most 20000000 bytes

  Scenario: An announcement that is too long is refused
    When an announcement of 100000 bytes is sent to it
    Then the announcement is refused with 413

@hosted
Feature: Announcement listener
  Guards against a listener that reads an endless request body without a limit.

  Background:
    Given an announcement listener with a limit of 4096 bytes

  Scenario: The listener closes the connection of an endless announcement
    When a sender sends the listener an announcement of 64000000 bytes
    Then the listener closes the connection after at most 20000000 bytes

  Scenario: The listener refuses an announcement above its limit
    When a sender sends the listener an announcement of 100000 bytes
    Then the listener refuses the announcement with status 413

@calls
Feature: Data path uploads
  Guards against an unread body that blocks the connection of its caller.

  Scenario: A refused upload leaves its connection usable
    Given a data path upload node that finds no instance
    When a data path upload of 300000 bytes is refused with 1602
    Then the next data path call on that connection is answered within 2000 ms

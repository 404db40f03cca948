@calls
Feature: Data path uploads
  Guards against an unread body that blocks the connection of its caller.

  Scenario: A refused upload leaves its connection usable
    Given a data path upload node that finds no instance
    When a data path upload of 300000 bytes is refused with 1602
    Then the next data path call on that connection is answered within 2000 ms

  Scenario: A data path body that is passed on waits until its request is sent
    Guards against a small first chunk that lets the rest come before the call
    has a slot.
    Given a data path body of unknown length whose first 1000 bytes have come
    Then no more bytes of it are allowed
    And once its request is sent 196608 more bytes are allowed

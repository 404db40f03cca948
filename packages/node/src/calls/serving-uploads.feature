@calls
Feature: Data path uploads
  Guards against an unread request body that blocks the connection of its caller.

  Scenario: A refused upload leaves its connection usable
    Given a data path upload node that finds no instance
    When a data path upload of 300000 bytes is refused with 1602
    Then the next data path call on that connection is answered within 2000 ms

  Scenario: A streamed data path body gets no more credit until its request is sent
    Guards against a node that lets the rest of a body follow a small first chunk
    before the call has a slot.
    Given a data path body of unknown length whose first 1000 bytes have arrived
    Then the data path body is granted no more bytes
    And once its request is sent the data path body is granted 196608 more bytes

@calls
Feature: Data path responses and bodies beyond their announced length
  Guards against a node that buffers or forwards an endless body of another node.

  Scenario: A response that exceeds its announced length is aborted
    Given a data path node whose instance announces a response of 10 bytes and never stops sending
    When a data path caller requests the endless response
    Then the data path caller gets no complete response
    And the endless data path response is reset after at most 4000000 bytes

  Scenario: A request body that exceeds its announced length ends its call
    Given a data path node that accepts calls from another node
    When another node announces a data path body of 10 bytes and never stops sending
    Then the endless data path body is reset after at most 4000000 bytes

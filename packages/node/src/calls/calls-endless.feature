@calls
Feature: Data path answers and bodies beyond their announced length
  Guards against a node that keeps, or passes on, what another one sends without
  an end.

  Scenario: An answer that grows beyond its announced length is cut
    Given a data path node whose instance answers 10 bytes and sends on without an end
    When a data path caller reads from it
    Then the data path caller gets no whole answer
    And the endless data path answer is reset after at most 4000000 bytes

  Scenario: A body that grows beyond its announced length ends its call
    Given a data path node that takes calls from another node
    When another node announces a body of 10 bytes and sends on without an end
    Then the endless data path body is reset after at most 4000000 bytes

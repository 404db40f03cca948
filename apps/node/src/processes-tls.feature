@processes
Feature: Nodes whose settings name certificates
  Guards against nodes with TLS that do not find each other, and against
  operators who cannot reach them or reach a node of another authority.

  Scenario: Nodes with TLS join and answer operators who hold the authority
    Given 2 process nodes with TLS
    Then the process nodes with TLS see each other
    And a process operator without the authority cannot reach the node
    And a process operator over plain HTTP cannot reach the node

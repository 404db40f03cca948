@hosted
Feature: Accept delay of a busy node
  Guards against a node that reports ready but serves no new connection, because
  each connection waits for longer than the timeout of its caller. Node.js accepts
  one connection per iteration of the event loop. In the first second after a restart
  of all nodes, an iteration takes 8 to 17 ms on average.

  Scenario: A node with long event loop iterations serves new connections
    Given a caller listener that responds at once
    When callers with a timeout of 1000 ms connect every 8 ms while its event loop iterations take 17 ms for 7000 ms
    Then no period of 3000 ms passes without a response to a caller

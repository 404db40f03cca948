@hosted
Feature: Callers of a node that is behind
  Guards against a node that says it is ready and serves no new connection, since
  each that it accepts has waited for longer than its caller stays. Node.js accepts
  one in each turn of the event loop, and in the first second after a restart of all
  nodes the turns of a node take 8 to 17 ms in the mean.

  Scenario: A node whose turns are long serves new connections
    Given a listener for callers that answers at once
    When callers that stay for 1000 ms come each 8 ms while its turns take 17 ms for 7000 ms
    Then no span of 3000 ms passed without a caller that got its answer

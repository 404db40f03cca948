@hosted
Feature: Connections of callers
  Guards against a node that runs out of file descriptors because callers retry on
  new connections and keep the old ones open.

  Scenario: Responses close their connections while many are open
    Given a caller server of a process with 50 descriptors
    When 30 callers connect to the caller server and send one request each
    Then 10 of the responses close their connection
    And the caller server keeps 40 of 45 new connections open

  Scenario: A blocked node holds few connections in its accept queue
    Guards against a node that accepts connections seconds late: each caller has
    disconnected by then, and the node serves none of the callers.
    Given a caller listener with the listen backlog of a node
    When 200 callers connect to the caller listener while its event loop is blocked for 500 ms
    Then at most 80 of the callers are connected before the event loop continues

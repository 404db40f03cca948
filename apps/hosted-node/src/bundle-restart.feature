@hosted
Feature: The deployed bundle beside a server that is older than its process
  Guards against a restarted node that cannot confirm that the server beside it
  serves, and refuses its calls until several heartbeats have passed.

  Scenario: A restarted bundle uses the server beside it soon
    Given the bundle runs as it is deployed beside a server that has run for a minute
    Then within 1200 ms after a configuration a request is answered by that server

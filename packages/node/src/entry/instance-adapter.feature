@entry
Feature: Choice among the members of the mesh
  Guards against calls that cross to another region while the own region can
  take them, and against a node that drains but is still announced as ready.

  Scenario: Another region is the last resort
    Given an entry node in region "cz" with ready instances "a" in "cz" and "b" in "br"
    Then 50 entry picks all go to "a"
    And an entry pick without "a" goes to "b"

  Scenario: A draining node stays draining while its upstream announces ready
    Given an entry node in region "cz" whose upstream announced "ready"
    When the entry node drains and its upstream announces "ready" as version "v2"
    Then the entry node publishes its upstream as "draining"

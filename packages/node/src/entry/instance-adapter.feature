@entry
Feature: Instance selection
  Guards against calls to another region while the local region has ready
  instances, and against a draining node whose upstream is published as ready.

  Scenario: Instances of another region are picked only if the local region has none
    Given an entry node in region "cz" with ready instances "a" in "cz" and "b" in "br"
    Then 50 entry picks all go to "a"
    And an entry pick without "a" goes to "b"

  Scenario: A draining node stays draining while its upstream announces ready
    Given an entry node in region "cz" whose upstream announced "ready"
    When the entry node drains and its upstream announces "ready" as version "v2"
    Then the entry node publishes its upstream as "draining"

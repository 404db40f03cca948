@membership
Feature: Membership messages and synchronization of tables

  Scenario: membership messages have a compact encoding
    Then membership restores encoded messages unchanged
    And membership rejects malformed packed messages

  Scenario: membership sends few records that a peer already has
    Then membership exchanges only the records that differ
    And membership tells a peer which of its live members have left
    And membership counts received copies only while the update queue is long

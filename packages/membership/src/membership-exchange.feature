@membership
Feature: Messages of the membership protocol and exchange of tables

  Scenario: membership messages travel in a compact form
    Then membership keeps messages through the form that travels
    And membership refuses a packed message that is malformed

  Scenario: membership sends what a peer lacks and little else
    Then membership exchanges only the records that differ
    And membership tells a peer which of its live members have left
    And membership drops copies of records only while many updates wait

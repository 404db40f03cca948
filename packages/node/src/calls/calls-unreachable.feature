@calls
Feature: Calls while several instances are gone
  Guards against reads that fail although instances are left, because refused
  connections used up the retries of the call.

  Scenario: Unreachable instances use up no retries of a call
    Given a call whose first instance is lost while it runs a read
    And 3 further instances that refuse connections
    Then the read is answered by the fifth instance

  Scenario: An unknown outcome is explained by the attempt that caused it
    Given a call whose first instance is lost while it runs a read
    And only 2 further instances, which refuse connections
    Then the read fails with 1607 and the message of the first attempt

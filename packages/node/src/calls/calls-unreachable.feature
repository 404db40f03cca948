@calls
Feature: Calls while several instances are unreachable
  Guards against reads that fail although instances are left, because refused
  connections used up the retries of the call.

  Scenario: Attempts at unreachable instances use no retries
    Given a read whose first instance is lost while it runs
    And 3 further instances that refuse connections
    Then the read is answered by the fifth instance

  Scenario: The message of an unknown outcome comes from the attempt that caused it
    Given a read whose first instance is lost while it runs
    And only 2 further instances, which refuse connections
    Then the read fails with 1607 and the message of the first attempt

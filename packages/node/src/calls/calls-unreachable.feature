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

  Scenario Outline: A read is answered although three instances are killed whose connections close <order>
    Given a read that runs at the first of 3 instances with open connections
    When those instances are killed and their connections closed <gap> ms apart
    Then the read is answered by the entry node

    Examples:
      | order         | gap |
      | at once       | 0   |
      | in succession | 5   |

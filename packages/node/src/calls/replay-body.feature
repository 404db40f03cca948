@calls
Feature: Request bodies that no instance takes yet

  Scenario: Calls that wait read ahead within one budget
    Given request bodies that share 100 bytes to read ahead and keep none
    When the bodies "a" and "b" wait and the caller of each sends 8 chunks of 20 bytes
    Then the bodies "a" and "b" have read about 100 bytes together
    When the instance takes the body "a"
    Then the instance has the first 160 bytes of the body "a"
    And the body "b" reads the rest once its instance takes it

  Scenario: A call that ends returns what it has read ahead
    Given request bodies that share 100 bytes to read ahead and keep none
    When the body "a" waits and its caller sends 8 chunks of 20 bytes
    And the call of the body "a" ends
    Then all 100 bytes may be read ahead again

@routing
Feature: Return to instances that were slow

  Scenario: routing returns to the own data centre after it was slow
    When routing sees the own data centre 10 times slower for 2 s
    Then routing chooses the own data centre again within 8 s

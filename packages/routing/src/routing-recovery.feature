@routing
Feature: Recovery of instances that were slow

  Scenario: routing returns to the local data centre after it was slow
    When routing observes for 2 s that the local data centre is 10 times slower
    Then routing chooses the local data centre again within 8 s

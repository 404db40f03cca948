@routing
Feature: Choice of the own and of slow instances

  Scenario: routing returns to the own data centre after it was slow
    When routing sees the own data centre 10 times slower for 2 s
    Then routing chooses the own data centre again within 8 s

  Scenario: routing keeps calls on the own node while it has free slots
    Guards against the work of passing calls to a peer that the own instance could
    run as soon.
    Given a routing picker on a node with an instance of its own
    Then routing keeps 100 of 100 calls there while it is idle
    And routing keeps at most 20 of 100 calls there while all its slots are in use
    And routing keeps at most 20 of 100 calls there while it is 5 times slower

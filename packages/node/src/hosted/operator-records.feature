@hosted
Feature: Operators' records across the eras of the store
  Guards against a configuration that is followed by an older one, and against orders
  that are taken up again, after the store has come back from a copy.

  Background:
    Given a node with operator records

  Scenario: An older configuration in a new era is not taken, and peers get the newer
    Given the operator records get "config" with configuration 3 at "1:10"
    And the operator records get "config" with configuration 5 at "1:20"
    When the operator records get "config" with configuration 3 at "2:10"
    Then the operator records have configuration 5 in force
    And the operator records give peers "config" with configuration 5 at "2:10 kept"

  Scenario: A configuration written in a new era at a lower revision is taken
    Given the operator records get "config" with configuration 5 at "1:20"
    When the operator records get "config" with configuration 6 at "2:11"
    Then the operator records have configuration 6 in force

  Scenario: A starting node takes the configuration that its peers keep
    Given the operator records get "config" with configuration 3 at "2:10"
    When the operator records get "config" with configuration 5 at "2:10 kept"
    Then the operator records have configuration 5 in force

  Scenario: An order that the copy has is not taken up again
    Given the operator records get "order" with order "v2" at "1:8"
    When the operator records get "order" with order "v2" at "2:8"
    Then the operator records took the orders "v2"
    And the operator records moved the orders "v2"

  Scenario: An order that is written again after a drill is not taken up again
    Given the operator records get "order" with order "v2" at "1:20"
    And the operator records read a whole store with configuration 1 at "2:10"
    When the operator records get "order" with order "v2" at "2:11"
    Then the operator records took the orders "v2"

  Scenario: An order that was replaced is not taken up from the copy
    Given the operator records get "order" with order "v2" at "1:8"
    And the operator records get "order" with order "v3" at "1:20"
    When the operator records get "order" with order "v2" at "2:8"
    Then the operator records took the orders "v2 v3"
    And the operator records give peers "order" with order "v3" at "2:8 kept"

  Scenario: An order that was written again and replaced is not taken up from a copy
    Given the operator records get "order" with order "v2" at "1:8"
    And the operator records get "order" with order "v2" at "2:9"
    And the operator records get "order" with order "v3" at "2:20"
    When the operator records get "order" with order "v2" at "3:9"
    Then the operator records took the orders "v2 v3"
    And the operator records give peers "order" with order "v3" at "3:9 kept"

  Scenario: An order that an older one of a copy displaced is taken up at its old revision
    Given the operator records get "order" with order "v4" at "1:37"
    And the operator records get "order" with order "v3" at "2:26"
    When the operator records get "order" with order "v4" at "3:37"
    Then the operator records took the orders "v4 v3 v4"
    And the operator records give peers "order" with order "v4" at "3:37"

  Scenario: An order at the former revision of itself is held where the store shows it
    Given the operator records get "order" with order "v4" at "1:37"
    And the operator records get "order" with order "v3" at "2:26"
    And the operator records get "order" with order "v4" at "2:35 kept"
    When the operator records get "order" with order "v4" at "3:37"
    Then the operator records took the orders "v4 v3 v4"
    And the operator records give peers "order" with order "v4" at "3:37"

  Scenario: An order that a late answer has shown is not taken up from a copy
    Given the operator records get "order" with order "v4" at "2:37"
    And the operator records get "order" with order "v3" at "1:26"
    When the operator records get "order" with order "v3" at "3:26"
    Then the operator records took the orders "v4"
    And the operator records give peers "order" with order "v4" at "3:26 kept"

  Scenario: An order of a late answer is taken up at a revision above that of the last one
    Given the operator records get "order" with order "v4" at "2:26"
    And the operator records get "order" with order "v3" at "1:37"
    When the operator records get "order" with order "v3" at "3:37"
    Then the operator records took the orders "v4 v3"

  Scenario: A new order in a new era is taken up
    Given the operator records get "order" with order "v2" at "1:20"
    When the operator records get "order" with order "v3" at "2:11"
    Then the operator records took the orders "v2 v3"

  Scenario: An order given once more long after a drill is taken up
    Given the operator records get "order" with order "v2" at "1:8"
    And the operator records get "order" with order "v2" at "2:8"
    When 60 s pass for the operator records
    And the operator records get "order" with order "v2" at "2:30"
    Then the operator records took the orders "v2 v2"

  Scenario: What the copy lacks is kept for peers
    Given the operator records get "order" with order "v2" at "1:20"
    When the operator records read a whole store with configuration 1 at "2:10"
    Then the operator records give peers "order" with order "v2" at "2:10 kept"

  Scenario: Without eras an order written again is a new one
    Given the operator records get "order" with order "v2" at "0:8"
    When the operator records get "order" with order "v2" at "0:9"
    Then the operator records took the orders "v2 v2"

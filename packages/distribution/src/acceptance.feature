@distribution
Feature: Acceptance of changes
  Guards against operators who are told something untrue about a change.

  Background:
    Given an acceptance store with 2 production versions

  Scenario: A change becomes the next version
    When the acceptance operator submits timeout "9s"
    Then the acceptance result is version 3 with the change "route r: timeout 2000ms -> 9000ms"
    And the acceptance history lists versions "3 2 1"
    And the acceptance diff of 1 and 3 has 1 change

  Scenario: A document that does not compile is refused before the store
    When the acceptance operator submits timeout "9"
    Then the acceptance result is code 1105
    And the acceptance history lists versions "2 1"

  Scenario: A deadline in the past is refused
    When the acceptance operator submits a move with a past deadline
    Then the acceptance result is code 1111

  Scenario: A lost race names the winner and the difference
    When two acceptance operators submit at the same time
    Then one acceptance result is version 3 and the other code 1202
    And the acceptance loser gets the winner's author and 1 change

  Scenario: A change of an older base is refused
    When the acceptance operator submits a change of version 1
    Then the acceptance result is code 1202

  Scenario Outline: A lost response is settled by reading back
    Guards against a change that is accepted twice or reported as refused.
    Given the acceptance store <fate> the next response
    When the acceptance operator submits timeout "9s"
    Then the acceptance result is version 3 with the change "<change>"
    And the acceptance history lists versions "3 2 1"

    Examples:
      | fate                | change                              |
      | applies and loses   |                                     |
      | drops and loses     | route r: timeout 2000ms -> 9000ms   |

  Scenario: A lost response before a restore of the store stays unknown
    Guards against "race lost" for a change that the fleet may have active.
    Given the acceptance store applies, loses and restores the next response
    When the acceptance operator submits timeout "9s"
    Then the acceptance result is code 1302

  Scenario: An outage after an applied change does not deny the change
    Guards against "not applied" for a change that the store has.
    Given the acceptance store applies and loses the next response
    And the acceptance versions cannot be read
    When the acceptance operator submits timeout "9s"
    Then the acceptance result is version 3 with the change ""
    When the acceptance operator repeats the operation after another change
    Then the acceptance result is code 1302

  Scenario: A repeated operation is one change
    When the acceptance operator submits timeout "9s"
    And the acceptance operator repeats the operation after another change
    Then the acceptance result is version 3 with the change ""
    And the acceptance history lists versions "4 3 2 1"

  Scenario: A change on a store older than the fleet is refused
    Guards against two texts under one version number.
    Given the acceptance fleet has version 7
    When the acceptance operator submits timeout "9s"
    Then the acceptance result is code 1205
    When the acceptance operator reasserts the fleet's version
    Then the acceptance result is version 8 with the change "route r: timeout 2000ms -> 7000ms"

  Scenario: A node that does not know the fleet yet refuses changes
    Given the acceptance fleet is unknown
    When the acceptance operator submits timeout "9s"
    Then the acceptance result is code 1210

  Scenario: A promotion names the trial version
    When the acceptance operator promotes trial version 1
    Then the acceptance result is version 3 promoted from trial version 1
    When the acceptance operator promotes trial version 5
    Then the acceptance result is code 1209

  Scenario: A document at the size limit fits into the store
    Guards against escapes that lift a value over the limit of the store.
    When the acceptance operator submits a document at the size limit
    Then the acceptance store holds no value over 1048576 bytes

@hosted
Feature: Operator feed
  Guards against nodes that hold a newer record and miss an older change. Peers
  offer only records above the revision of a node, so it would never receive it.

  Scenario: The feed leaves a record that changed during the list to the watch
    Given a store whose list at revision 100 has records of the revisions 90 and 102
    When an operator feed reads it
    Then the feed delivers the revision 90 and watches from revision 101

  Scenario: A feed that does not watch the store reads it on request
    Given a store whose list at revision 100 has records of the revisions 90 and 95
    When an operator feed that does not watch the store reads it
    Then the feed delivers the revisions 90 and 95 and does not watch
    When the feed is asked to read now
    Then the feed has listed the records 2 times

  Scenario: A feed whose watch is behind reads the newest records until none is new
    Given a store whose list at revision 100 has records of the revisions 90 and 95
    And the watch of the store reports that it is behind
    When an operator feed reads it
    Then the feed has listed the records 3 times before its second watch

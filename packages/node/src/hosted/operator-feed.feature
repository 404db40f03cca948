@hosted
Feature: The operators' records from the store
  Guards against nodes that hold a newer record and miss an older change, which no
  peer offers them any more.

  Scenario: A record that changed while the operators' records were listed comes later
    Given a store whose list at revision 100 has records of the revisions 90 and 102
    When an operator feed reads it
    Then the feed brought the revision 90 and watches from revision 101

  Scenario: A feed that does not follow the store reads it when it is asked to
    Given a store whose list at revision 100 has records of the revisions 90 and 95
    When an operator feed that does not follow the store reads it
    Then the feed brought the revisions 90 and 95 and does not watch
    When the feed is told to read now
    Then it has listed the records 2 times

  Scenario: A feed that is behind reads the newest records until none is new
    Given a store whose list at revision 100 has records of the revisions 90 and 95
    And its watch brings several changes of a record together
    When an operator feed reads it
    Then it has listed the records 3 times before it watches again

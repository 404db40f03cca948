@calls
Feature: Calls whose callers have left
  Guards against work at an upstream for callers that closed their connection
  before the entry node read what they had sent.

  Scenario: A call whose caller left before its connection was accepted is not sent on
    Given a data path node that callers reach over connections of their own
    When 40 callers send a call and leave after 100 ms while its event loop stands still for 500 ms
    Then no attempt was made for the calls of those callers

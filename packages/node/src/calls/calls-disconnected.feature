@calls
Feature: Calls of disconnected callers
  Guards against upstream work for callers that closed their connection before
  the entry node read their request.

  Scenario: A call is not forwarded if its caller disconnected before its connection was accepted
    Given a data path node whose callers each open a connection
    When 40 callers send a call and disconnect after 100 ms while its event loop is blocked for 500 ms
    Then no data path attempt was made for those callers

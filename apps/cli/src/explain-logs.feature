@cli
Feature: Explain a call from log files
  Guards against a failed call that can be explained only while its nodes live.

  Scenario: The lines of a call over the nodes
    Given log files of two nodes
    When the command line explains call "c1" from both logs
    Then the command line exits with 0 and prints the snapshot "explain-logs"

  Scenario: A call that no line is about
    Given log files of two nodes
    When the command line explains call "c9" from both logs
    Then the command line exits with 19 and prints the snapshot "explain-logs-unknown"

  Scenario: A log that cannot be read
    Given log files of two nodes
    When the command line explains call "c1" from a log that is not there
    Then the command line exits with 19 and names the log

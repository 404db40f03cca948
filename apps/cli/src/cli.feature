@cli
Feature: Text output of the command line
  Guards against output that changes unnoticed or hides why a command failed.

  Scenario Outline: The command line prints <name>
    Given a command line and a fake admin server
    When the command line runs "<arguments>"
    Then the command line exits with <exit> and prints the snapshot "<name>"
    And the command line has sent its token and "<request>"

    Examples:
      | name      | arguments | exit | request                                   |
      | status    | status    | 0    | GET /v1/status                            |
      | moves     | moves     | 0    | GET /v1/moves                             |
      | take back | take-back redelivery-v2 | 0 | POST /v1/moves/redelivery-v2/take-back |
      | explain   | explain c1 | 0   | GET /v1/calls/c1                          |
      | lost race | promote 3 | 12   | POST /v1/environments/production/promote  |
      | confirm restore | confirm-restore | 0 | POST /v1/store/confirm-restore |
      | reassert  | reassert  | 0    | POST /v1/environments/production/reassert |

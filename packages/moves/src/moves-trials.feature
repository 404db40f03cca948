@moves
Feature: Trials of version moves
  Guards against bad versions that keep their traffic, and good versions that are
  taken back or late (promise P4). Each trial simulates one move with a seed.
  VERBENABEAM_TRIALS sets the number of seeds per kind; the default is the small
  fixed set of CI.

  Scenario Outline: A bad version is taken back: <effect>, <kind>
    When move trials run with a version of fault "<effect>" "<kind>"
    Then the move trials take back at least 99 in 100
    And the median move trial gives the bad version at most 2% of the traffic
    And no move trial sends a call to the new version later than 1 s after the decision to stop

    Examples:
      | effect   | kind      |
      | errors   | atOnce    |
      | slowness | atOnce    |
      | crashes  | atOnce    |
      | errors   | oneRoute  |
      | slowness | oneRoute  |
      | errors   | later     |
      | slowness | later     |
      | errors   | underLoad |
      | slowness | underLoad |
      | errors   | underPeakLoad |
      | slowness | underPeakLoad |
      | errors   | nearFullShare |
      | slowness | nearFullShare |
      | errors   | fromFullShare |
      | slowness | fromFullShare |
      | errors   | onlyFullShare |
      | slowness | onlyFullShare |

  Scenario Outline: A good version finishes on time: <kind>
    When move trials run with a good version and "<kind>"
    Then the move trials finish on time at least 99 in 100

    Examples:
      | kind            |
      | slowStart       |
      | noisy           |
      | lowTraffic      |
      | crashingRequest |
      | slowerService   |

  Scenario Outline: A bad version is taken back at 1 call/s: <effect>
    When move trials run at 1 call/s with a version of fault "<effect>" "atOnce"
    Then the move trials take back at least 99 in 100
    And the median move trial gives the bad version at most 2% of the traffic
    And no move trial sends a call to the new version later than 1 s after the decision to stop

    Examples:
      | effect   |
      | errors   |
      | slowness |

  Scenario Outline: Other policies are as safe and finish on time: <policy>
    When move trials run under policy "<policy>" with a version of fault "errors" "atOnce"
    Then the move trials take back at least 99 in 100
    And the median move trial gives the bad version at most 2% of the traffic
    And no move trial sends a call to the new version later than 1 s after the decision to stop
    When move trials run under policy "<policy>" with a good version and "crashingRequest"
    Then the move trials finish on time at least 99 in 100

    Examples:
      | policy   |
      | balanced |
      | fast     |

  Scenario Outline: A bad version is taken back despite <disturbance>
    When move trials with "<disturbance>" run with a version of fault "errors" "atOnce"
    Then the move trials take back at least 99 in 100
    And the median move trial gives the bad version at most 2% of the traffic
    And no move trial sends a call to the new version later than 1 s after the decision to stop
    And no move trial stores a step or a decision twice

    Examples:
      | disturbance    |
      | outageAtStop   |
      | controllerLost |
      | twoControllers |

  Scenario Outline: A good version finishes on time despite <disturbance>
    When move trials with "<disturbance>" run with a good version
    Then the move trials finish on time at least 99 in 100
    And no move trial stores a step or a decision twice

    Examples:
      | disturbance    |
      | outageAtStep   |
      | controllerLost |
      | twoControllers |

  Scenario: The trials detect that the sequential tests are turned off
    When move trials run with errors at once and without the tests
    Then the move trials take back none

  Scenario: The trials detect that stops are not pushed
    When move trials run with errors at once and without pushes of stops
    Then a move trial sends a call to the new version later than 1 s after the decision to stop

  Scenario: The trials detect that crashes of a request are attributed to the version
    When move trials run with a crashing request and without crash attribution
    Then the move trials take the good version back

  Scenario: The trials detect that latencies of cold instances count
    When move trials run with a slow start and without the cold filter
    Then the move trials take the good version back

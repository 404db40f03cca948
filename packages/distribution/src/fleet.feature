@distribution
Feature: Versions in a fleet with faults
  Guards against a node that goes back, a version that is applied in part, a
  fleet that does not converge, and operators who are told something untrue.

  Scenario: Randomised runs keep the guarantees of versions
    Then the distribution guarantees hold in randomised runs of a small fleet

  Scenario: The push tree spreads a change without waiting for anti-entropy
    Then a distribution fleet activates a change everywhere within 400 ms

  Scenario: Relays spread a change whose acceptor is cut off
    Then a distribution fleet activates a change of a cut off node within 400 ms

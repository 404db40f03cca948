@membership
Feature: Membership under faults
  Seeded runs on a simulated network and clock. `VERBENABEAM_LONG_SEEDS=<count>`
  adds that many seeds, starting at VERBENABEAM_SEED.

  Scenario: membership recovers from random faults
    When membership runs 18 nodes under random faults with several seeds
    Then membership misses no live node for more than 60 s
    And membership keeps no dead process for more than 30 s
    And membership tables agree within 60 s after the last fault

  Scenario: membership recovers from an hour's partition between regions
    Given a membership cluster of 16 nodes
    When membership regions are partitioned for 3600 s
    Then membership tables list only nodes of the same region
    And membership tables agree 60 s later

  Scenario: membership shows a draining upstream everywhere within 3 s
    Given a membership cluster of 120 nodes
    Then membership shows 8 draining upstreams everywhere within 3 s at 10% loss

  Scenario: membership removes the nodes of a lost data centre
    Given a membership cluster of 42 nodes
    When membership loses the nodes of a data centre
    Then membership tables agree 30 s later

  Scenario: membership that prefers its data centre crosses little and spreads changes
    Given a membership cluster of 60 nodes in 5 data centres that sends 0.25 of the probes to others
    Then membership sends at most 0.35 of its messages to other data centres
    And membership shows 4 draining upstreams everywhere within 3 s at 10% loss

  Scenario: membership that prefers its data centre removes the nodes of a lost one
    Given a membership cluster of 60 nodes in 5 data centres that sends 0.25 of the probes to others
    When membership loses the nodes of a data centre
    Then membership tables agree 30 s later

  Scenario: membership limits full tables when a third of the nodes restarts
    Given a membership cluster of 60 nodes
    When membership restarts a third of the nodes at once
    Then membership seeds serve at most 4 tables in a second
    And membership tables agree 60 s later

  Scenario: membership limits its traffic when a third of the nodes restarts
    Given a membership cluster of 240 nodes
    When membership restarts a third of the nodes at once
    Then membership sends at most 4096 bytes per node and second over 20 s
    And membership tables agree 10 s later

  Scenario: membership forms one cluster when all nodes restart at once
    Given a membership cluster of 60 nodes
    When membership restarts all nodes at once
    Then membership tables agree 60 s later

  Scenario: membership keeps a node that one peer cannot reach
    Given a membership cluster of 12 nodes
    When membership link 1 to 2 works in one direction only for 120 s
    Then membership has declared no node dead

  Scenario: membership tolerates a paused and an isolated node
    Given a membership cluster of 12 nodes
    When membership node 3 is paused for 2500 ms at a time
    Then membership has suspected only node 3
    When membership node 4 receives no messages for 20 s
    Then membership has declared no node dead except by or for node 4
    And membership nodes other than 4 have suspected at most 4 others

  Scenario: membership sends two messages per node and second when idle
    Given a membership cluster of 30 nodes
    Then membership sends at most 2.2 valid messages per node and second

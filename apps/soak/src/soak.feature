@soak
Feature: Fault soak of the hosted node
  Guards against faults that come in series and overlap, in the real program. Longer
  runs are made by hand, with `npm run soak`.

  Scenario: A soak of real processes keeps its promises
    Given the bundle that a soak runs
    When a soak of 4 nodes with seed 1 injects faults for 30 s
    Then the soak reports that all promises are kept

  Scenario: A soak of planned stops under load cuts no call
    Given the bundle that a soak runs
    When a soak of 4 nodes with seed 2 stops nodes 6 times
    Then the soak reports that all promises are kept

  Scenario: A soak finds a call that ran twice, and one that was refused and ran
    Given a soak judge of 2 machines
    When a soak call runs at upstreams 1 and 2 and is answered with 200
    And a soak call runs at upstream 1 and is answered with 503
    Then the soak judge finds "runsOnce" and "notRun"

  Scenario: A soak counts a call as run whose answer began before its body was read
    Given a soak judge of 2 machines
    When a soak call is answered at upstreams 1 and 2 before they read its body
    Then the soak judge finds "runsOnce" and "endExplained"

  Scenario: A soak finds an answer to another request, and a call that ends without one
    Given a soak judge of 2 machines
    When a soak call is answered with the id of another
    And a soak call is answered with a part of its body
    And a soak call is lost
    Then the soak judge finds "wholeAnswer", "wholeAnswer" and "endExplained"

  Scenario: A soak does not ask for an answer from a node that was killed
    Given a soak judge of 2 machines
    And soak machine 1 is killed
    When a soak call is lost
    Then the soak judge finds nothing

  Scenario Outline: A soak reads <answers> answers from a connection in any pieces
    Given the soak reads "<bytes>" one byte at a time
    Then it has read <answers> whole answers

    Examples:
      | bytes                                                                                      | answers |
      | HTTP/1.1 200 OK~Content-Length: 2~~abHTTP/1.1 503 Full~Content-Length: 0~~                 | 2       |
      | HTTP/1.1 103 Early~~HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ab~0~~HTTP/1.1 200 OK~~a | 1       |
      | HTTP/1.1 200 OK~Content-Length: 3~~ab                                                      | 0       |

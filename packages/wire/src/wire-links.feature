@wire @wire-links
Feature: Wire links that fail or end
  Guards against exchanges that are lost in a planned end, connections that
  hang on a dead link, and peers that send more than they may.

  Scenario: A wire link peer that goes away gets no new exchange
    Given a wire link between two buses
    And a request on the wire link that waits for its response
    When the answering side of the wire link sends goAway
    Then the next request on the wire link uses a second connection
    And the waiting request on the wire link gets its response

  Scenario: A quiet wire link is kept by pings and a dead one is closed
    Given a wire link between two buses that allow 1500 ms of silence
    And a request on the wire link that waits for its response
    Then the request on the wire link is still open after 3500 ms
    When the wire link falls silent
    Then the waiting request on the wire link fails with "wire.connectionLost"

  Scenario: A wire link outlives a standstill of its own node
    Guards against calls that are cut because the node itself has read nothing.
    Given a wire link between two buses that allow 1500 ms of silence
    And a request on the wire link that waits for its response
    When the node of the wire link stands still for 2500 ms
    Then the request on the wire link is still open after 1000 ms
    When the wire link falls silent
    Then the waiting request on the wire link fails with "wire.connectionLost"

  Scenario: A dead wire link that only carries notices is replaced
    Guards against notices that are lost for good after a host was replaced at its
    address without closing its connections.
    Given a wire link between two buses that allow 1500 ms of silence
    When notices are sent on the wire link for 3000 ms
    Then the wire link was connected 1 time
    When the wire link falls silent
    And notices are sent on the wire link for 3000 ms
    Then the wire link was connected more than once

  Scenario: A wire link peer that exceeds its credit is disconnected
    Given a wire link between two buses
    And a request on the wire link that waits for its response
    When another peer sends 300000 bytes beside the wire link without credit
    Then the other peer beside the wire link is disconnected
    And at most 262144 of its bytes were taken beside the wire link
    And the waiting request on the wire link gets its response

  Scenario Outline: A wire link peer that repeats a frame of a stream is disconnected: <frame>
    Guards against a peer whose frames are kept without an end.
    Given a wire link between two buses
    When another peer sends 50 frames "<frame>" of 1000000 bytes on a stream that is not read beside the wire link
    Then the other peer beside the wire link is disconnected

    Examples:
      | frame |
      | head  |
      | end   |

  Scenario: A wire link peer that reads no responses is disconnected
    Guards against responses that are kept without an end.
    Given a wire link between two buses
    When another peer sends 60 requests of 1000000 bytes beside the wire link and reads no responses
    Then the other peer beside the wire link is disconnected

  Scenario: A stream tells how long it was on a slow wire link
    Guards against work for callers that left while their calls were unread.
    Given a wire link between two buses
    When a stream is opened on the wire link
    Then its age beside the wire link is from 0 to 300 ms
    When the wire link holds bytes for 700 ms
    And a stream is opened on the wire link
    Then its age beside the wire link is from 600 to 3000 ms

  Scenario: A stream that pings first sends nothing on a silent wire link
    Guards against calls that are sent to processes that were just killed.
    Given a wire link between two buses that allow 600 ms of silence
    When a stream that pings first is opened on the wire link
    Then that stream beside the wire link arrives and is reset
    When the wire link falls silent
    And a stream that pings first is opened on the wire link
    Then that stream beside the wire link fails with "wire.unreachable" within 5000 ms

  Scenario: Clocks of a wire link that drift apart make no stream old
    When the clock of a wire peer loses 100 ms in each minute
    Then no stream beside the wire link is older than 250 ms

  Scenario: A wire link notice is answered on the connection it came on
    Given a wire link between two buses
    When a notice on the wire link is answered by a notice
    Then the answer arrives on the wire link without another handshake
    And the wire link counts the bytes of the answer by its kind

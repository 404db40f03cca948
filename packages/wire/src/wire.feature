@wire
Feature: Wire connections
  Guards against one peer's fault that harms other exchanges, and against a
  failure that claims more than is known about what was sent.

  Background:
    Given two wire buses with one node key

  Scenario: Wire requests return each caller's own response
    When 200 wire requests are answered in reverse order
    Then each wire request has its own response

  Scenario: A wire frame that cannot be decoded closes only its connection
    Given a wire request that waits for its response
    When another authenticated wire peer sends a frame of garbage
    Then that wire peer is disconnected
    And the waiting wire request still gets its response

  Scenario: A wire frame over the limit closes only its connection
    Given a wire request that waits for its response
    When another authenticated wire peer announces a frame of 1200000 bytes
    Then that wire peer is disconnected
    And the waiting wire request still gets its response

  Scenario: A wire peer with another node key is refused
    When a wire bus with another key sends a request
    Then the wire request fails with "wire.handshakeRefused"
    And the wire handler has not run

  Scenario: A wire peer that replays a server's proof is refused
    When a wire peer without the key sends the challenge's proof back
    Then that wire peer is disconnected

  Scenario: A wire response for an unknown request is dropped and counted
    When a wire request times out before its response
    Then the wire request fails with "wire.timeout"
    And 1 wire response is counted as unknown
    And the next wire request succeeds

  Scenario: A wire stream that is not read blocks only itself
    When a wire stream of 4000000 bytes is not read
    Then at most 262144 of its wire bytes leave the sender
    And a second wire stream of 4000000 bytes arrives whole meanwhile
    And the first wire stream arrives whole after it is read

  Scenario: A wire peer that cannot be reached was sent nothing
    When a wire request goes to a port without listener
    Then the wire request fails with "wire.unreachable"

  Scenario: A wire connection that is lost leaves the outcome open
    Given a wire request that waits for its response
    And a wire stream in both directions
    When the answering wire bus closes
    Then the waiting wire request fails with "wire.connectionLost"
    And the wire stream is reset with "wire.connectionLost"

  Scenario: A wire stream that is reset after its end is cancelled
    Given a wire stream in both directions
    When the wire stream is ended and then reset
    Then the answering wire side learns of the reset

  Scenario: A wire request of unknown kind is refused as not run
    When a wire request has an unknown kind
    Then the wire request fails with "wire.unknownKind"

  Scenario: Wire bytes are counted by traffic class and idle connections close
    When a wire stream of 100000 bytes is sent and its connection is idle
    Then the wire call class counts at least 100000 bytes on both sides
    And the wire control class counts no bytes of the sender
    And the idle wire connection is closed

  Scenario: Wire connections with TLS require a certificate of the authority
    Given two wire buses with TLS
    When 3 wire requests are answered in reverse order
    Then each wire request has its own response
    And a wire bus without a certificate is refused

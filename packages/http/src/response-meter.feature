@http
Feature: Limits of what a response has beside its body
  Guards against answers without an end that use up memory or processor time, and
  against limits that end a whole answer.

  Scenario Outline: A metered client takes a whole response: <response>
    Given an http server that answers with <response>
    Then 3 metered requests on a connection are answered whole

    Examples:
      | response                       |
      | a body with a length           |
      | a long body with a length      |
      | a body of many lines           |
      | chunks of one byte             |
      | long chunks                    |
      | chunks with short extensions   |
      | chunks and trailers            |
      | 250 fields                     |
      | fields of 12000 bytes          |
      | 16 informational heads         |
      | fields after informational heads         |
      | a head of 16000 bytes before a long body |
      | a body like an informational head        |
      | no body                        |

  Scenario Outline: A metered client reads a long response whole when it pauses: <response>
    Given an http server that answers with <response>
    Then a metered request that pauses after each part is answered whole

    Examples:
      | response                  |
      | a long body with a length |
      | long chunks               |

  Scenario Outline: A metered client gives up a response: <response>
    Given an http server that answers with <response>
    Then a metered request fails and its connection is closed

    Examples:
      | response                     |
      | 300 fields                   |
      | 300 fields after an informational head |
      | 300 fields in a trailer      |
      | 24000 bytes of a trailer     |
      | 24000 zeros of a chunk size  |
      | 3000 bytes of a reason phrase |
      | 3000 bytes of empty lines    |
      | 40000 bytes of empty lines   |
      | 40000 zeros of a chunk size  |
      | 40000 bytes of an extension  |

  Scenario: The end of a paused response does not touch another connection
    Given an http client with two connections, a paused response on one, half of a body of lines on the other
    Then the body of lines is read whole

  Scenario: A connection whose response ended after a pause has the limits of a head
    Given an http client with two connections, a paused response on one, half of a body of lines on the other
    Then 300 fields on the connection that was paused are given up

  Scenario Outline: The parser gets few small fields of a trailer at once: <place>
    Given a response meter whose next piece is a trailer of 500 fields <place>
    Then the response meter lets the parser have 64 of those fields

    Examples:
      | place                 |
      | in the piece of a head |
      | in a piece of its own  |

  Scenario: A usual response that has arrived whole is parsed at once
    Given a response meter whose next piece is a response with a body of 5000 bytes
    Then the response meter lets the parser have that response in one piece

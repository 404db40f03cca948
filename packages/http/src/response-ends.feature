@http
Feature: Responses that end with their connection
  Guards against a reset that Node.js reports as an ordinary end, after which a part of a
  response is taken for all of it.

  Scenario Outline: A metered response that is cut is not complete: <framing>, <end>
    Given an http server whose responses with <framing> end by <end>
    When 20 metered requests are sent to it one after the other
    Then no metered request got a complete response

    Examples:
      | framing   | end                      |
      | no length | a reset at once          |
      | no length | a reset after 5 ms       |
      | chunks    | a reset at once          |
      | chunks    | an ordinary end          |
      | a length  | an ordinary end          |

  Scenario: A metered response without a length is complete at the end of its connection
    Given an http server whose responses with no length end by an ordinary end
    When 20 metered requests are sent to it one after the other
    Then each metered request got a complete response

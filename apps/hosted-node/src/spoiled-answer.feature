@hosted
Feature: Odd answers at the bundle of the hosted node
  Guards against a node that stands still for seconds because an assertion of a library
  fails: Node.js parses the whole bundle for the text of the first one at each place.

  Scenario Outline: The bundle goes on at once after <answer>
    Given the bundle runs as it is deployed, with a timeout of 200 ms
    When its upstream answers a call with <answer> while 8 callers keep calling it
    Then no call of these callers waited more than 700 ms

    Examples:
      | answer                   |
      | a status of 000          |
      | a status of 99           |
      | an upgrade nobody wanted |

  Scenario: No assertion in the bundle asks Node.js for its text
    Given the bundle of the hosted node
    Then it takes assertions without a message from its own module

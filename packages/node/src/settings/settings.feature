@settings
Feature: Node settings
  Guards against a node that starts with wrong settings, and against a key or
  token that appears in a log or an error message.

  Scenario Outline: An invalid setting is refused with its path
    Given node settings where <change>
    When the node settings are loaded
    Then loading the node settings fails with code <code> and mentions "<text>"

    Examples:
      | change                                    | code | text                               |
      | "listen.callers" is "localhost:80"        | 1001 | listen.callers: expected           |
      | "listen.wire" is "127.0.0.1:99999"        | 1001 | listen.wire: expected              |
      | "listen.callers" is "127.0.0.1:9080"      | 1002 | listen.callers and listen.wire     |
      | "limits.queue_wait" is "50"               | 1001 | limits.queue_wait: expected a dur  |
      | "limits.queue_wait" is "5 fortnights"     | 1001 | limits.queue_wait: expected a dur  |
      | "node.zone" is "cz-1"                     | 1001 | zone                               |
      | "node.environment" is "Production!"       | 1001 | node.environment: expected a lower |
      | "access.node_key" is "short"              | 1001 | access.node_key: expected at least |
      | "access.operator_token_file" is "t.txt"   | 1002 | access.operator_token_file         |
      | "access.operator_token" is "node-key-0123456789" | 1002 | must differ                 |
      | "store.endpoints" is ""                   | 1001 | store.endpoints                    |

  Scenario: A file that is not TOML is refused
    Given node settings with the text "[node"
    When the node settings are loaded
    Then loading the node settings fails with code 1003 and mentions "node.toml"

  Scenario: Correct settings get their defaults
    Given node settings without changes
    When the node settings are loaded
    Then the node settings match the snapshot "settings with defaults"

  Scenario: An error does not show the keys
    Given node settings where "access.node_key" is "short"
    When the node settings are loaded
    Then the node settings error contains neither key

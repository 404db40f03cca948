@calls
Feature: Uploads without a length whose callers disconnect
  Guards against uploads that run although their callers closed the connection while
  the upload waited for a slot. The node does not see the close, because it comes
  after body bytes that the node has stopped reading.

  Scenario Outline: An upload in chunks of <bytes> bytes to the <place> node is not run once its caller left
    Given two chunked upload nodes that buffer bodies of 2097152 bytes, with no free slot
    When a chunked upload of <bytes> bytes waits for a slot of the <place> node
    And the caller of the chunked upload disconnects and 600 ms pass
    Then no chunked upload waits for a slot of the <place> node
    When the slot of the <place> node for chunked uploads is free for 300 ms
    Then no chunked upload has reached an upstream

    Examples:
      | bytes   | place |
      | 1000    | own   |
      | 1000    | other |
      | 40000   | own   |
      | 40000   | other |
      | 200000  | own   |
      | 200000  | other |
      | 3000000 | own   |
      | 3000000 | other |

  Scenario Outline: A chunked upload of <bytes> bytes to the <place> node runs in full if its caller stays connected
    Given two chunked upload nodes that buffer bodies of 2097152 bytes, with no free slot
    When a chunked upload of <bytes> bytes waits for a slot of the <place> node
    And the slot of the <place> node for chunked uploads is free for 0 ms
    Then the chunked upload is answered with its <bytes> bytes

    Examples:
      | bytes   | place |
      | 40000   | own   |
      | 40000   | other |
      | 200000  | own   |
      | 200000  | other |
      | 3000000 | own   |
      | 3000000 | other |

@calls
Feature: Uploads without a length whose callers leave
  Guards against uploads that run for callers who closed their connection while the
  upload waited for a slot: the end lies behind a body that is not read any further.

  Scenario Outline: An upload in chunks of <bytes> bytes to the <place> node is not run once its caller left
    Given two left upload nodes that keep bodies of 2097152 bytes, with no free slot
    When a left upload in chunks of <bytes> bytes waits for a slot of the <place> node
    And the caller of the left upload leaves and 600 ms pass
    Then no left upload waits for a slot of the <place> node
    When the slot of the <place> node for left uploads is free for 300 ms
    Then no left upload has reached an upstream

    Examples:
      | bytes   | place |
      | 1000    | own   |
      | 1000    | other |
      | 40000   | own   |
      | 40000   | other |
      | 200000  | own   |
      | 200000  | other |
      | 3000000 | other |

  Scenario Outline: An upload in chunks of <bytes> bytes to the <place> node runs whole when its caller stays
    Given two left upload nodes that keep bodies of 2097152 bytes, with no free slot
    When a left upload in chunks of <bytes> bytes waits for a slot of the <place> node
    And the slot of the <place> node for left uploads is free for 0 ms
    Then the left upload is answered with its <bytes> bytes

    Examples:
      | bytes   | place |
      | 40000   | own   |
      | 40000   | other |
      | 200000  | own   |
      | 200000  | other |
      | 3000000 | own   |
      | 3000000 | other |

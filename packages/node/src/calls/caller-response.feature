@calls
Feature: Responses without a length
  Guards against responses that take more memory than a node has, and against memory
  that stays taken after their calls.

  Scenario: Responses without a length are held as long as there is memory
    Given responses without a length that share 100000 bytes of memory
    When the responses "a" and "b" get 60000 bytes each
    Then no response without a length has begun at its caller
    When the responses "c" and "d" get 60000 bytes each
    Then the responses "c" and "d" without a length are given up

  Scenario Outline: A response without a length that <ends> frees its memory
    Given responses without a length that share 100000 bytes of memory
    When the responses "a" and "b" get 60000 bytes each
    And the responses "a" and "b" each <ends>
    And the responses "c" and "d" get 60000 bytes each
    Then no response without a length has begun at its caller but the ended ones

    Examples:
      | ends                           |
      | ends                           |
      | is dropped with its connection |
      | is cancelled                   |
      | is replaced                    |

  Scenario: A response without a length that its caller reads slowly keeps its memory
    Given responses without a length that share 100000 bytes of memory
    When the responses "a" and "b" get 60000 bytes each
    And the responses "a" and "b" each is read slowly
    And the responses "c" and "d" get 60000 bytes each
    Then the responses "c" and "d" without a length are given up

  Scenario: A response in chunks does not begin at a caller of HTTP/1.0 before its end
    Given responses without a length that share 100000 bytes of memory
    When a caller of HTTP/1.0 gets 60000 bytes of a response in chunks
    Then no response without a length has begun at its caller

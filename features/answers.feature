Feature: Answers survive failures
  A caller gets every token of its answer exactly once, whichever process fails.

  Background:
    Given a fleet

  Scenario: An engine is killed during an answer
    When a caller requests an answer of 400 tokens at entry 0
    And the engine of the answer is killed at token 60
    Then the answer is complete
    And its text comes from 2 attempts

  Scenario: An entry instance is killed and the caller reconnects at another one
    When a caller requests an answer of 400 tokens at entry 1
    And entry 1 is killed at token 60
    And the caller reconnects at entry 2
    Then the answer is complete

  Scenario: The engine and, within a second, the entry instance are killed
    When a caller requests an answer of 600 tokens at entry 1
    And the engine of the answer is killed at token 60
    And entry 1 is killed at token 90
    And the caller reconnects at entry 0
    Then the answer is complete

  Scenario: A caller reconnects at another instance while the first one is paused
    When a caller requests an answer of 600 tokens at entry 1
    And entry 1 is paused at token 60
    And the caller reconnects at entry 2
    And entry 1 is resumed
    Then the answer is complete

  Scenario: A stream hangs while its connection stays open
    When a caller requests an answer of 900 tokens at entry 0
    And the stream of the answer hangs at token 60
    Then the answer is complete
    And its text comes from 2 attempts

  Scenario: An agent is paused while it forwards its engine's stream
    When a caller requests an answer of 300 tokens at entry 0
    And the agent of the answer is paused at token 60
    Then the answer is complete
    And its text comes from 2 attempts

  Scenario: A cancelled answer frees its slot at the engine
    When a caller requests an answer of 5000 tokens at entry 0
    And the answer is cancelled at entry 1 at token 20
    Then no engine generates tokens for the answer any more
    And the answer ended with the code ANSWER_CANCELLED

  Scenario: A caller that disconnects frees its slot at the engine
    When a caller requests an answer of 5000 tokens at entry 0
    And the caller disconnects at token 20
    Then no engine generates tokens for the answer any more

  Scenario: An exceeded deadline frees the slot at the engine
    When a caller requests an answer of 5000 tokens at entry 0 within 400 ms
    Then no engine generates tokens for the answer any more
    And the answer ended with the code DEADLINE

  Scenario: An answer is not readable by another customer
    When a caller requests an answer of 30 tokens at entry 0
    Then the answer is complete
    And another customer that requests it gets the code ANSWER_UNKNOWN

  Scenario: The openai client library works unmodified
    When the client library requests a completion, a chat completion and a stream
    Then each of the three answers is complete
    And the client library raises distinct classes for a wrong key and an unknown model

  Scenario: All entry instances are killed in turn while the caller is disconnected
    When a caller requests an answer of 5000 tokens at entry 0
    And the caller disconnects at token 80
    And entries 0, 1 and 2 are killed and restarted in turn
    Then the caller resumes the answer after token 80 at entry 1

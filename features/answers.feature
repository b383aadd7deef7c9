Feature: Answers that survive
  A caller gets its whole answer exactly once, whatever dies on the way.

  Background:
    Given a fleet

  Scenario: An engine dies in the middle of an answer
    When a caller asks for an answer of 400 tokens at entry 0
    And the engine of the answer is killed at token 60
    Then the answer is whole
    And its text comes from 2 attempts

  Scenario: An entry instance dies and the caller returns at another one
    When a caller asks for an answer of 400 tokens at entry 1
    And entry 1 is killed at token 60
    And the caller returns at entry 2
    Then the answer is whole

  Scenario: The engine and then the entry instance die within a second
    When a caller asks for an answer of 600 tokens at entry 1
    And the engine of the answer is killed at token 60
    And entry 1 is killed at token 90
    And the caller returns at entry 0
    Then the answer is whole

  Scenario: A caller returns at another instance while the first one is only paused
    When a caller asks for an answer of 600 tokens at entry 1
    And entry 1 is paused at token 60
    And the caller returns at entry 2
    And entry 1 runs on
    Then the answer is whole

  Scenario: A stream hangs with its socket open
    When a caller asks for an answer of 300 tokens at entry 0
    And the stream of the answer hangs at token 60
    Then the answer is whole
    And its text comes from 2 attempts

  Scenario: An agent is paused with its engine's stream
    When a caller asks for an answer of 300 tokens at entry 0
    And the agent of the answer is paused at token 60
    Then the answer is whole
    And its text comes from 2 attempts

  Scenario: A cancelled answer frees its place at the engine
    When a caller asks for an answer of 5000 tokens at entry 0
    And the answer is cancelled at entry 1 at token 20
    Then no engine works on the answer any more
    And the answer ended with the code ANSWER_CANCELLED

  Scenario: A caller that goes away frees its place at the engine
    When a caller asks for an answer of 5000 tokens at entry 0
    And the caller goes away at token 20
    Then no engine works on the answer any more

  Scenario: The deadline frees the place at the engine
    When a caller asks for an answer of 5000 tokens at entry 0 within 400 ms
    Then no engine works on the answer any more
    And the answer ended with the code DEADLINE

  Scenario: Another customer can never read an answer
    When a caller asks for an answer of 30 tokens at entry 0
    Then the answer is whole
    And another customer that asks for it gets the code ANSWER_UNKNOWN

  Scenario: A client library of the ecosystem works unchanged
    When the client library asks for a completion, a chat completion and a stream
    Then each of the three is a whole answer
    And the client library tells a wrong key and an unknown model by their classes

  Scenario: Entry instances are lost one after the other while the caller is away
    When a caller asks for an answer of 5000 tokens at entry 0
    And the caller goes away at token 80
    And entries 0, 1 and 2 are killed and started again one after the other
    Then the caller goes on from token 80 at entry 1

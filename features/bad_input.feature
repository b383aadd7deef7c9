Feature: Bad input
  Wrong, slow and idle callers get a clear code, and nobody else is disturbed.

  Background:
    Given a fleet

  Scenario Outline: A wrong request is refused before anything runs
    When a request is sent with <what>
    Then the last reply has the code <code> and was_run no
    And no engine ran anything for it

    Examples:
      | what                       | code            |
      | a body that is not JSON    | BAD_REQUEST     |
      | a body that is a list      | BAD_REQUEST     |
      | a body that is very deep   | BAD_REQUEST     |
      | a body of 5 megabytes      | TOO_LARGE       |
      | no prompt                  | BAD_REQUEST     |
      | no tokens wanted           | BAD_REQUEST     |
      | too many answers wanted    | BAD_REQUEST     |
      | an unknown model           | NOT_FOUND       |
      | a wrong key                | UNAUTHENTICATED |
      | no key                     | UNAUTHENTICATED |
      | a malformed request id     | BAD_REQUEST     |
      | a malformed deadline       | BAD_REQUEST     |
      | an unknown service         | NOT_FOUND       |

  Scenario: Callers that send slowly and streams that are idle disturb nobody
    When 300 connections are opened that send one byte now and then
    And a caller asks for an answer of 200 tokens at entry 0
    Then the answer is whole
    And the slow connections are still open

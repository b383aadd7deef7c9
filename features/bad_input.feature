Feature: Bad input
  Invalid requests get a result code; slow and idle connections delay no other caller.

  Background:
    Given a fleet

  Scenario Outline: An invalid request is refused before an engine runs it
    When a request is sent with <what>
    Then the last response has the code <code> and was_run no
    And no engine has a record of an attempt

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

  Scenario: Slow and idle connections do not affect an answer
    When 300 connections send one byte every 200 ms
    And a caller requests an answer of 200 tokens at entry 0
    Then the answer is complete
    And the slow connections are still open

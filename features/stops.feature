Feature: Planned stops interrupt no answer
  Targets are drained, agents and entry instances stopped, while answers are generated.

  Background:
    Given a fleet

  Scenario: A drain interrupts no answer
    When 12 answers of 400 tokens are requested and engine 0 is drained meanwhile
    Then all answers are complete

  Scenario: An agent that gets SIGTERM hands over its answers
    When 6 answers of 3000 tokens are requested and agent 2 gets SIGTERM
    Then all answers are complete

  Scenario: An entry instance that gets SIGTERM finishes its answers
    When 6 answers of 300 tokens are requested at entry 1 which gets SIGTERM
    Then all answers are complete

  Scenario Outline: A stopping process gets more signals
    When 6 answers of <n_tokens> tokens are requested at <process> which gets SIGTERM, then <signal>
    Then all answers are complete

    Examples:
      | process | n_tokens | signal  |
      | entry 1 | 300      | SIGHUP  |
      | entry 1 | 300      | SIGTERM |
      | agent 2 | 3000     | SIGHUP  |
      | agent 2 | 3000     | SIGTERM |

  Scenario: All agents and entry instances are restarted in turn under load
    When callers request answers while all agents and entry instances restart in turn
    Then no started answer was interrupted

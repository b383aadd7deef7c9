Feature: One fleet document in force everywhere
  A change is accepted once, comes into force at all instances and is never reverted.

  Background:
    Given a fleet

  Scenario: Two operators change the same version concurrently
    When two operators apply different documents to the same version at once
    Then one is accepted, the other gets a conflict that names operator and path

  Scenario: A change is retried after its response was lost
    When a change with the id "c1" is applied twice at different entries
    Then both results have the same version

  Scenario: An invalid document changes nothing
    When a document with 3 errors is applied
    Then all 3 errors are reported with their paths
    And the version in force is the same as before
    And the audit trail records the refusal

  Scenario: Changes are accepted after the leader is killed
    When the leader is killed
    Then another entry instance accepts a change
    And the killed instance has the latest version after a restart

  Scenario: A drained target gets no new attempts from an instance that was paused meanwhile
    Given entry 2 is paused
    When engine 1 is drained at entry 0
    And entry 2 is resumed
    Then callers at all entries get answers and engine 1 gets no new attempts

  Scenario: A drain interrupts no answer
    When 12 answers of 400 tokens are requested and engine 0 is drained meanwhile
    Then all answers are complete

  Scenario: An agent that gets SIGTERM hands over its answers
    When 6 answers of 3000 tokens are requested and agent 2 gets SIGTERM
    Then all answers are complete

  Scenario: An entry instance that gets SIGTERM finishes its answers
    When 6 answers of 300 tokens are requested at entry 1 which gets SIGTERM
    Then all answers are complete

  Scenario: An operator with the role read cannot change the document
    When an operator with the role read applies a document
    Then the command exits with the status of FORBIDDEN

  Scenario: A rollout under load interrupts no answer and mixes no versions
    When 9 answers of 600 tokens are requested and version "v2" is rolled out meanwhile
    Then all answers are complete
    And every engine has only the version "v2" within 40 seconds
    And the audit trail records the steps of the rollout
    And a new answer uses the version "v2"

  Scenario: The leader is killed during a rollout
    When version "v3" is rolled out and the leader is killed meanwhile
    Then every engine has only the version "v3" within 60 seconds
    And no engine received an order with a stale fencing number

  Scenario: All agents and entry instances are restarted in turn under load
    When callers request answers while all agents and entry instances restart in turn
    Then no started answer was interrupted

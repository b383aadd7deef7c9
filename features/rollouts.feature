Feature: Rollouts of model versions
  A version is rolled out under load, also when the leader is lost meanwhile.

  Background:
    Given a fleet

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

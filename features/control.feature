Feature: One document, in force everywhere
  A change is accepted once, comes into force everywhere, and never reverts.

  Background:
    Given a fleet

  Scenario: Two operators change the same version at the same moment
    When two operators apply different documents on the same base at once
    Then one of them is accepted and the other gets a conflict that names who and what

  Scenario: A change is sent again after its answer was lost
    When a change with the id "c1" is applied twice at different entries
    Then both answers name the same version

  Scenario: A wrong document changes nothing
    When a document with 3 errors is applied
    Then all 3 errors are reported with their paths
    And the version in force is the same as before
    And the audit trail has the refusal

  Scenario: The leader is killed and changes go on
    When the leader is killed
    Then a change is accepted by the others
    And the killed instance has the newest version after it is started again

  Scenario: A target that leaves gets nothing new though an instance is cut off
    Given entry 2 is paused
    When engine 1 is drained at entry 0
    And entry 2 runs on
    Then callers at all entries get answers and engine 1 gets nothing new

  Scenario: A drain cuts nothing
    When 12 answers of 400 tokens are asked for and engine 0 is drained meanwhile
    Then all answers are whole

  Scenario: An agent told to stop hands its answers over
    When 6 answers of 3000 tokens are asked for and agent 2 is told to stop
    Then all answers are whole

  Scenario: An entry instance told to stop finishes its answers
    When 6 answers of 300 tokens are asked for at entry 1 which is told to stop
    Then all answers are whole

  Scenario: An operator who may only read
    When an operator who may only read applies a document
    Then the command ends with the status of FORBIDDEN

  Scenario: A version is rolled out under load and no answer is cut or mixed
    When 9 answers of 600 tokens are asked for and version "v2" is rolled out meanwhile
    Then all answers are whole
    And every engine has only the version "v2" within 40 seconds
    And the audit trail has the steps of the rollout
    And a new answer uses the version "v2"

  Scenario: The leader is lost in the middle of a rollout
    When version "v3" is rolled out and the leader is killed meanwhile
    Then every engine has only the version "v3" within 60 seconds
    And no engine carried out an order with an old fencing number

  Scenario: Everything is restarted one after the other under load
    When callers ask without a pause while every process is told to stop and started again
    Then no answer that had begun was cut

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

  Scenario: An operator with the role read cannot change the document
    When an operator with the role read applies a document
    Then the command exits with the status of FORBIDDEN

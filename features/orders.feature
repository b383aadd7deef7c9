Feature: Orders that run once
  An order runs at most once, and what the caller is told about it is true.

  Background:
    Given a fleet

  Scenario: Two equal orders at two instances at the same moment
    When the order "a1" is sent at entries 0 and 1 at once
    Then the service ran the order "a1" once
    And all callers got the same reply

  Scenario: Two equal orders at one instance at the same moment
    When the order "a7" is sent at entries 1 and 1 at once
    Then the service ran the order "a7" once
    And all callers got the same reply

  Scenario: A retry after a lost answer gets the stored reply
    When the order "a2" is sent at entry 0
    And the order "a2" is sent at entry 2
    Then the service ran the order "a2" once
    And all callers got the same reply

  Scenario: The same key with another body
    When the order "a3" is sent at entry 0
    And the order "a3" is sent at entry 1 with another body
    Then the last reply has the code KEY_REUSED and was_run no
    And the service ran the order "a3" once

  Scenario: An order without a key
    When an order without a key is sent at entry 0
    Then the last reply has the code KEY_MISSING and was_run no

  Scenario: The entry instance dies while the order runs
    When the order "a4" is sent at entry 1 which is killed meanwhile
    And the order "a4" is sent at entry 0
    Then the service ran the order "a4" once
    And the last reply tells the order's reply or that its outcome is unknown

  Scenario: The service is down before the order is sent
    Given the service is killed
    When the order "a5" is sent at entry 0
    Then the last reply has the code ORDER_NOT_SENT and was_run no
    And the service ran the order "a5" never
    Given the service is started again
    When the order "a5" is sent at entry 1
    Then the service ran the order "a5" once

  Scenario: The agent dies while the order runs
    When the order "a6" is sent at entry 0 and its agent is killed meanwhile
    Then the last reply has the code ORDER_OUTCOME_UNKNOWN and was_run unknown
    And the service ran the order "a6" once
    When the order "a6" is sent at entry 1
    Then the last reply has the code ORDER_OUTCOME_UNKNOWN and was_run unknown
    And the service ran the order "a6" once

  Scenario: A lookup goes on at no cost of an order
    When a lookup is sent at entry 0
    Then the last reply has the status 200

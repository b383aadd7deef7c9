Feature: Orders run at most once
  An order is executed at most once, and the response states its true outcome.

  Background:
    Given a fleet

  Scenario: Two equal orders are sent at two instances concurrently
    When the order "a1" is sent at entries 0 and 1 at once
    Then the service executed the order "a1" once
    And all callers got the same response

  Scenario: Two equal orders are sent at one instance concurrently
    When the order "a7" is sent at entries 1 and 1 at once
    Then the service executed the order "a7" once
    And all callers got the same response

  Scenario: A retry after a lost response gets the stored response
    When the order "a2" is sent at entry 0
    And the order "a2" is sent at entry 2
    Then the service executed the order "a2" once
    And all callers got the same response

  Scenario: An idempotency key is reused with another body
    When the order "a3" is sent at entry 0
    And the order "a3" is sent at entry 1 with another body
    Then the last response has the code KEY_REUSED and was_run no
    And the service executed the order "a3" once

  Scenario: An order has no idempotency key
    When an order without a key is sent at entry 0
    Then the last response has the code KEY_MISSING and was_run no

  Scenario: The entry instance is killed while the order runs
    When the order "a4" is sent at entry 1 which is killed meanwhile
    And the order "a4" is sent at entry 0
    Then the service executed the order "a4" once
    And the last response is that of the order or says that its outcome is unknown

  Scenario: The service is down when the order is sent
    Given the service is killed
    When the order "a5" is sent at entry 0
    Then the last response has the code ORDER_NOT_SENT and was_run no
    And the service executed the order "a5" never
    Given the service is restarted
    When the order "a5" is sent at entry 1
    Then the service executed the order "a5" once

  Scenario: The agent is killed while the order runs
    When the order "a6" is sent at entry 0 and its agent is killed meanwhile
    Then the last response has the code ORDER_OUTCOME_UNKNOWN and was_run unknown
    And the service executed the order "a6" once
    When the order "a6" is sent at entry 1
    Then the last response has the code ORDER_OUTCOME_UNKNOWN and was_run unknown
    And the service executed the order "a6" once

  Scenario: A lookup needs no idempotency key
    When a lookup is sent at entry 0
    Then the last response has the status 200

Feature: A caller's session
  What a caller sees, from the first call to a withdrawn key.

  Background:
    Given a running deployment with the example documents

  Scenario: Model calls
    When the caller lists the models
    And the caller asks "menu-vi-en" for 3 tokens
    And the caller streams 3 tokens from "menu-vi-en"
    And the caller asks "menu-hanoi" for 2 tokens
    Then the session equals the golden file "caller-models"

  Scenario: Refusals
    When the caller sends no key
    And the caller asks "no-such-model" for 1 tokens
    And the caller sends a body that is not JSON
    And the caller sends two lengths
    And the caller calls a path with dot segments
    Then the session equals the golden file "caller-refusals"

  Scenario: An order and its resends
    When the caller places the order "o-1" for 2 dishes
    And the caller places the order "o-1" for 2 dishes
    And the caller places the order "o-1" for 3 dishes
    And the caller calls the open route
    Then the session equals the golden file "caller-orders"

  Scenario: A withdrawn key
    When the caller's key is withdrawn
    And the caller lists the models
    Then the session equals the golden file "caller-withdrawn"

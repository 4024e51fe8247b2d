Feature: An operator's session
  Documents, keys, hosts and members by the command line.

  Background:
    Given a running deployment with the example documents

  Scenario: A document changes
    When the operator edits "burst_tokens: 5000" to "burst_tokens: 7000" in "translation"
    And the operator runs "config check edited.yaml"
    And the operator runs "config diff translation edited.yaml"
    And the operator runs "config submit edited.yaml --expect-version 1 --author an --wait"
    And the operator runs "config submit edited.yaml --expect-version 1 --author binh"
    And the operator runs "config history translation"
    And the operator runs "config get translation --version 9"
    Then the session equals the golden file "operator-document"

  Scenario: A document with an error
    When the operator edits "memory_mb: 8000" to "memory_mb: lots" in "translation"
    And the operator runs "config check edited.yaml"
    And the operator runs "config submit edited.yaml"
    And the operator runs "config submit edited.yaml --output json"
    Then the session equals the golden file "operator-error"

  Scenario: Keys
    When the operator runs "key grant hue-hotels"
    And the operator runs "key list --workspace hue-hotels"
    And the operator withdraws the key granted last
    And the operator runs "key list --workspace hue-hotels --output json"
    Then the session equals the golden file "operator-keys"

  Scenario: Hosts and members
    When the operator runs "drain desk-host-1 --wait"
    And the operator runs "status"
    And the operator runs "drain desk-host-1 --undo --wait"
    And the operator runs "member list"
    And the operator runs "member remove control-9"
    And the operator runs "drain no-such-host"
    Then the session equals the golden file "operator-hosts"

  Scenario: Help
    When the operator runs "config submit"
    And the operator runs "trace --help"
    Then the session equals the golden file "operator-help"

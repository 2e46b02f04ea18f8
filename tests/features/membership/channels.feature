Feature: Channels between nodes

  Scenario: A channel works again after its connection fell silent
    Given a peer server behind a link, and a channel on which calls succeed
    When the open connections of the link fall silent
    Then within 2 seconds a call on the channel succeeds

  Scenario: A slow call on a channel is not interrupted when another one times out
    Given a peer server behind a link, and a channel on which calls succeed
    When a call of 1 second runs while shorter calls time out
    Then the call of 1 second succeeds

  Scenario: A channel works again although calls on its silent connection are cancelled
    Given a peer server behind a link, and a channel on which calls succeed
    When the open connections of the link fall silent
    And a call on the channel is cancelled every 0.1 seconds
    Then within 2 seconds a call on the channel succeeds

  Scenario: A channel connects soon after its peer has started
    Given a channel on which calls fail for 2.5 seconds without a peer
    When the peer server starts
    Then a call on the channel that waits for the connection succeeds within 0.5 seconds

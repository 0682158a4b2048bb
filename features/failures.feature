Feature: The promises hold while processes and platform fail
  The programs run as separate processes against the platform's stand-ins. Each scenario ends with
  the same check of what really ran against what callers were told.

  Background:
    Given a cell of 3 failure domains

  Scenario: The owner of a shard is killed under load
    Given requests flow from 4 callers
    And 6 jobs of 8 tasks that run 3 s are submitted
    When the owner of every shard is killed with SIGKILL
    Then every shard has another owner
    And every job ends as succeeded
    And every promise was kept

  Scenario: The owner of a shard is paused past its lease
    Given 9 jobs of 120 tasks that run 2 s are submitted
    When the owner of every shard is stopped with SIGSTOP
    Then every shard has another owner
    When every stopped process goes on
    Then every job ends as succeeded
    And every promise was kept

  Scenario: An entry is killed in the middle of orders
    Given upstreams take 1.5 s for a request
    And 12 orders are sent to one entry
    When that entry is killed once an upstream runs an order
    And the orders are repeated through the other entries
    Then every order has one answer or is unknown
    And 6 new orders through the other entries are answered
    And every promise was kept even if answers were cut

  Scenario: The store is away and comes back
    Given requests flow from 4 callers
    And 3 jobs of 4 tasks that run 8 s are submitted
    When the store is away for 6 s
    Then requests were answered while it was away
    When 2 jobs of 4 tasks that run 1 s are submitted
    Then every job ends as succeeded
    And every promise was kept

  Scenario: A failure domain is cut off from the platform's store
    Given requests flow from 4 callers
    And 6 jobs of 4 tasks that run 8 s are submitted
    When one failure domain is cut off from the store for 6 s
    Then requests were answered while it was away
    And every job ends as succeeded
    And every promise was kept

  Scenario: All entries are replaced one after the other
    Given requests flow from 4 callers
    When every entry is stopped with SIGTERM and started again, one after the other
    Then each of them exited with 0
    And every request of the load was answered
    And every promise was kept

/**
 * The closed list of the metrics there are. A test holds that every name the program uses is
 * here, and `docs/operations/METRICS.md` is generated from it. Names are exported with the
 * prefix `snipethread_`; counters end in `_total`.
 */

export const MetricKind = { Counter: 'counter', Gauge: 'gauge', Duration: 'duration' } as const;
export type MetricKind = (typeof MetricKind)[keyof typeof MetricKind];

export interface MetricDescription {
  readonly kind: MetricKind;
  /** What it counts or measures, in one sentence for an operator. */
  readonly help: string;
}

const counter = (help: string): MetricDescription => ({ kind: MetricKind.Counter, help });
const gauge = (help: string): MetricDescription => ({ kind: MetricKind.Gauge, help });
const duration = (help: string): MetricDescription => ({ kind: MetricKind.Duration, help });

export const METRICS: Readonly<Record<string, MetricDescription>> = {
  requests: counter('Requests of callers, by outcome: answered or an error kind.'),
  request_duration: duration("From a request's arrival to its answer."),
  request_retries: counter('Attempts after the first one of a request.'),
  requests_queued: counter('Requests that had to wait for a place.'),
  requests_displaced: counter('Waiting requests that left for a caller with fewer waiting.'),
  requests_over_held_bytes: counter('Requests refused unread: too many bytes of bodies are held.'),
  requests_given_up_at_shutdown: counter('Requests unanswered when the shutdown time was over.'),
  requests_waiting: gauge('Requests that wait for a place now.'),
  retries_over_budget: counter('Retries not made because the retry budget was spent.'),
  second_attempts: counter('Requests sent again beside the first attempt, by reason.'),
  second_attempts_won: counter('Second attempts that were answered first, by reason.'),
  connections_overtaken: counter('Connections closed without a byte: the second attempt won.'),
  servers_set_aside: counter('Times a backend server was set aside because it failed.'),
  servers_said_leaving: counter('Answers in which a backend server said that it is leaving.'),
  answers_cut: counter('Answers that began and did not come whole.'),
  answers_too_large: counter('Answers larger than entry.maximumBodyBytes.'),
  caller_connection_errors: counter('Malformed HTTP and requests sent too slowly.'),
  claims_refused: counter('Requests refused because the store of idempotency keys is out.'),
  claims_expired: counter('Idempotency keys removed after their time.'),
  claim_store_failures: counter('Claims of idempotency keys without an answer, by kind.'),
  claim_writes_lost: counter('Answers or releases of idempotency keys that were not recorded.'),
  invariant_attempt_sent_twice: counter('Attempts stopped before a second sending; stays at 0.'),
  invariant_second_answer: counter('Second answers to one request, cut off; stays at 0.'),
  invariant_false_not_run: counter('Wrong words "not run", corrected; stays at 0.'),
  invariant_non_idempotent_sent_twice: counter(
    'Second sendings of non-idempotent work, refused; stays at 0.',
  ),
  invariant_connection_share_used_up: counter(
    "Attempts beyond the entry's share of connections, refused; stays at 0.",
  ),
  invariant_connection_share_exceeded: counter(
    "Connections opened beyond the entry's share; stays at 0.",
  ),
  invariant_sent_to_leaving_server: counter(
    'Attempts at servers that are leaving, refused; stays at 0.',
  ),
  endpoint_read_failed: counter('Reads of the published backend servers that failed.'),
  instance_list_read_failed: counter('Reads of the instance list that failed.'),
  configuration_look_failed: counter('Looks that did not confirm the configuration, by fault.'),
  configuration_malformed: counter('Looks that met a row of an unknown form.'),
  configuration_change_malformed: counter('Changes that could not be followed; all was read.'),
  configuration_is_confirmed: gauge('0 while the configuration cannot be learnt here, else 1.'),
  configuration_old_read: counter('Reads that gave an older configuration and were ignored.'),
  configuration_version: gauge('The version of the configuration in force here.'),
  peer_heartbeat_failed: counter('Heartbeats to other daemons that got no answer.'),
  peer_link_replaced: counter('Connections to other daemons closed because they went silent.'),
  cell_is_owned: gauge('1 while this daemon schedules the cell, by cell.'),
  cell_transaction_conflict: counter('Transactions of a cell that met a changed row, by cell.'),
  cell_transaction_failed: counter('Transactions of a cell without an answer, by cell.'),
  tasks_assigned: counter('Tasks given to a worker, by cell.'),
  invariant_overcommitted: counter('Refused writes that would overcommit a worker; stays at 0.'),
  invariant_configuration_never_reverts: counter(
    'Refused steps back to an older configuration; stays at 0.',
  ),
  invariant_nothing_changes_before_confirmation: counter(
    'Refused writes of a plan that would have changed more than plans; stays at 0.',
  ),
  invariant_only_what_was_shown: counter(
    'Refused confirmations that would write what the plan did not show; stays at 0.',
  ),
  invariant_history_is_one_line: counter(
    'Refused confirmations without the conditions that keep history one line; stays at 0.',
  ),
  plans_removed: counter('Plans removed past their retention.'),
  metric_series_dropped: counter('Values not recorded because a metric has too many label values.'),
};

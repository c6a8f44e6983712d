/**
 * The complete list of metrics. A test checks that every name that the program uses is listed, and
 * `docs/operations/METRICS.md` is generated from the list. Names are exported with the prefix
 * `snipethread_`; counters end in `_total`.
 */

export const MetricKind = { Counter: 'counter', Gauge: 'gauge', Duration: 'duration' } as const;
export type MetricKind = (typeof MetricKind)[keyof typeof MetricKind];

export interface MetricDescription {
  readonly kind: MetricKind;
  /** One sentence for operators that says what the metric counts or measures. */
  readonly help: string;
}

const counter = (help: string): MetricDescription => ({ kind: MetricKind.Counter, help });
const gauge = (help: string): MetricDescription => ({ kind: MetricKind.Gauge, help });
const duration = (help: string): MetricDescription => ({ kind: MetricKind.Duration, help });

const REQUEST_METRICS = {
  requests: counter('Requests of callers, by outcome: answered or an error kind.'),
  request_duration: duration("From a request's arrival to its answer."),
  request_retries: counter('Attempts after the first one of a request.'),
  requests_queued: counter('Requests that had to wait for a place.'),
  requests_displaced: counter('Waiting requests that left for a caller with fewer waiting.'),
  requests_abandoned: counter(
    'Requests whose caller hung up before the answer, by what became of it.',
  ),
  callers_hung_up: counter('Connections that callers closed before their answer.'),
  client_connections: gauge('Open connections of clients, by listener.'),
  client_requests: gauge('Requests of clients without a complete answer, by listener.'),
  client_held_bytes: gauge('Bytes of bodies and answers that are held for clients, by listener.'),
  client_refusals: counter(
    'Clients refused or disconnected at a limit, by listener and reason: connections, requests, requests-ahead, held-bytes, small-chunks or evicted.',
  ),
  requests_given_up_at_shutdown: counter('Requests unanswered when the shutdown time was over.'),
  requests_waiting: gauge('Requests that wait for a place now.'),
  retries_over_budget: counter('Retries not made because the retry budget was spent.'),
  second_attempts: counter('Requests sent again beside the first attempt, by reason.'),
  second_attempts_won: counter('Second attempts that were answered first, by reason.'),
  connections_overtaken: counter('Connections closed without a byte: the second attempt won.'),
  servers_set_aside: counter('Times a backend server was set aside because it failed.'),
  server_addresses_unusable: counter(
    'Attempts not made because the address of the backend server is not one.',
  ),
  servers_said_leaving: counter('Answers in which a backend server said that it is leaving.'),
  answers_cut: counter('Answers that began and did not come whole.'),
  answers_too_large: counter('Answers larger than entry.maximumBodyBytes.'),
  caller_connection_errors: counter('Malformed HTTP and requests sent too slowly.'),
  claims_refused: counter('Requests refused because the store of idempotency keys is out.'),
  claims_expired: counter('Idempotency keys removed after their time.'),
  claim_store_failures: counter('Claims of idempotency keys without an answer, by kind.'),
  claim_writes_lost: counter('Answers or releases of idempotency keys that were not recorded.'),
  invariant_sent_to_leaving_server: counter(
    'Attempts at servers that are leaving, refused; stays at 0.',
  ),
  endpoint_read_failed: counter('Reads of the published backend servers that failed.'),
};

const SYSTEM_METRICS = {
  instance_list_read_failed: counter('Reads of the instance list that failed.'),
  configuration_version: gauge('The version of the configuration in force here.'),
  configuration_is_confirmed: gauge('0 while the configuration cannot be learnt here, else 1.'),
  configuration_look_failed: counter('Looks that did not confirm the configuration, by fault.'),
  configuration_old_read: counter('Reads that gave an older configuration and were ignored.'),
  configuration_malformed: counter('Looks that met a row of an unknown form.'),
  configuration_change_malformed: counter('Changes that could not be followed; all was read.'),
  invariant_sent_to_leaving_server: counter(
    'Requests that would have gone to a server that said it is leaving; stays at 0.',
  ),
  plans_removed: counter('Plans removed past their retention.'),
  peer_messages_refused: counter('Messages of peers that are no valid heartbeats.'),
  peer_heartbeat_failed: counter('Heartbeats to other daemons that got no answer.'),
  peer_bytes_sent: counter('Bytes of heartbeats and their answers sent, as TCP payload.'),
  peer_bytes_received: counter('Bytes of heartbeats and their answers received.'),
  peers_silent: gauge('Listed daemons that this one should hear of and does not.'),
  peer_link_replaced: counter('Connections to other daemons closed because they went silent.'),
  metric_series_dropped: counter('Values not recorded because of too many label values.'),
};

const SCHEDULER_METRICS = {
  cell_is_owned: gauge('1 while this daemon schedules the cell, by cell.'),
  cell_transaction_conflict: counter('Transactions of a cell that met a changed row, by cell.'),
  cell_transaction_failed: counter('Transactions of a cell without an answer, by cell.'),
  cell_fenced: counter('Fences written after a lost answer, by cell.'),
  cell_stale_answer: counter('Answers that came after the cell had moved on, by cell.'),
  tasks_assigned: counter('Tasks given to a worker, by cell.'),
  tasks_handed_on: counter('Queued tasks handed on to a cell that has room, by cell.'),
  assignments_finished: counter('Assignments whose task finished, by cell.'),
  assignments_failed: counter('Assignments whose task failed, by cell.'),
  assignments_evicted: counter('Assignments whose task left its worker on request, by cell.'),
  interference_throttle_changes: counter(
    'Steps that throttled batch tasks beside a service or took a throttle back, by cell.',
  ),
  interference_evictions: counter(
    'Batch tasks evicted because throttling did not keep a service fast enough, by cell.',
  ),
  interference_samples_stale: counter(
    'Samples of latency not learnt from, since they began before a change on their worker, by cell.',
  ),
  assignments_lost: counter(
    'Assignments whose worker lost the task or cannot be reached, by cell.',
  ),
  assignments_never_started: counter('Assignments taken back before they started, by cell.'),
};

/** Counted when the program is about to violate an invariant; it then omits the step. */
const INVARIANT_METRICS = {
  invariant_attempt_sent_twice: counter('An attempt was about to be sent a second time.'),
  invariant_configuration_never_reverts: counter('Refused steps back to an older configuration.'),
  invariant_configuration_reverted: counter('A cell was given an older configuration.'),
  invariant_connection_share_exceeded: counter("A server's connections went above the share."),
  invariant_connection_share_used_up: counter('A request was sent to a server without room.'),
  invariant_double_assignment: counter('A task was to be assigned twice at a time.'),
  invariant_false_not_run: counter('A refusal was to say not-run of work that may have run.'),
  invariant_history_is_one_line: counter(
    'Refused confirmations without the conditions that keep history one line.',
  ),
  invariant_non_idempotent_sent_twice: counter('Non-idempotent work was to be sent again.'),
  invariant_nothing_changes_before_confirmation: counter(
    'Refused writes of a plan that would have changed more than plans.',
  ),
  invariant_only_what_was_shown: counter(
    'Refused confirmations that would write what the plan did not show.',
  ),
  invariant_overcommitted: counter('A write would have overcommitted a worker.'),
  invariant_quota_exceeded: counter("A write would have exceeded a cell's part of a quota."),
  invariant_resumption: counter('A task was to resume twice or from an old checkpoint.'),
  invariant_second_answer: counter('A backend server answered one request twice.'),
  invariant_sent_to_leaving_server: counter('A request was sent to a server that is leaving.'),
  invariant_uncommitted_start: counter('A start was to be sent before it was committed.'),
  invariant_withdrawn_zone: counter('A task was to start in a withdrawn zone.'),
};

/** Metrics of the fleet scheduler, whose workers enforce their own leases, and of its intake. */
const FLEET_METRICS = {
  submissions: counter('Submissions of callers, by outcome: accepted, refused or unresolved.'),
  submission_store_duration: duration('From the arrival of a submission to its record.'),
  calls_thrown: counter('Calls that threw instead of returning a failure, by call; a fault.'),
  table_calls: counter('Calls to the table, by kind and outcome.'),
  table_call_duration: duration('From a call to the table to its answer, by kind.'),
  fleet_decisions: counter('Lines of the log on decisions of the scheduler, by event.'),
  task_wait_duration: duration(
    'Longest wait for room among tasks started together within a fifth of a second.',
  ),
  task_starts: counter(
    'Starts of tasks, by what the worker answered; withheld ones were never sent.',
  ),
  order_duration: duration(
    'From when an order to a worker is due to its answer or failure, by order: start, stop or pace.',
  ),
  worker_connections: gauge('Open connections to workers, by use: orders or holds.'),
  worker_connections_opened: counter(
    'Connections to workers that were opened, by use; a worker may have ended them at once.',
  ),
  worker_entries_unreadable: gauge('Entries of the last list of workers that name no worker.'),
  fleet_scheduling: gauge('One on the instance that schedules the workers, else nought.'),
  start_limit: gauge('Starts a second that the processor of this instance is taken to carry.'),
  lease_renewal_gap: duration(
    "Between two renewals of the owner's lease, as sent; the lease is lost where it is over by then.",
  ),
  event_loop_delay: duration('How late a timer of the daemon fired; ten of them in a second.'),
  store_silence_ms: gauge('How long ago the last answered call for what operators wrote was sent.'),
};

export const METRICS: Readonly<Record<string, MetricDescription>> = {
  ...REQUEST_METRICS,
  ...SYSTEM_METRICS,
  ...SCHEDULER_METRICS,
  ...FLEET_METRICS,
  ...INVARIANT_METRICS,
};

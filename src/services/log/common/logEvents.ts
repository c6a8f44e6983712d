/**
 * The closed list of the lines there are in the log, each a change of state or a decision on a
 * request, with what it says to an operator. The type holds the program to it;
 * `docs/operations/LOG.md` is generated from it.
 */
export const LOG_EVENTS = {
  listening: 'The daemon has started; the line names its ports.',
  draining: 'The daemon was told to stop: it is not ready any more and takes no new work.',
  drained: 'Everything in flight has its answer; the process ends.',
  'cut-off-at-shutdown': 'Requests were left unanswered at the end of a shutdown, a fault.',
  'configuration-in-force': 'Another version of the configuration is in force here.',
  'configuration-cannot-be-learnt':
    'Nothing has confirmed the configuration for 3 s; no work is started, routing goes on.',
  'configuration-confirmed-again': 'The configuration is confirmed again.',
  'cell-acquired': 'This daemon schedules the availability zone from now on.',
  'fleet-acquired': 'This daemon schedules all workers of the platform from now on.',
  'fleet-lost': 'This daemon no longer schedules the workers of the platform.',
  'starts-limited':
    'The owner asks more of its processor than it has; it starts fewer tasks until its steps are punctual again.',
  'lease-renewed-late':
    'The owner renewed its lease late: its process was held up, or the table answered late.',
  'submission-accepted': 'A submission is stored and will run.',
  'submission-refused': 'A submission was not stored and never runs; the line says why.',
  'submission-unresolved': 'Whether a submission was stored is not known; its caller was told so.',
  'submission-cancelled': 'A cancellation is stored.',
  'submission-ended': 'A submission has come to its last state, by the end of the task named.',
  'tasks-started': 'Tasks were given room and their starts sent, as TASK#RUN@WORKER+WAIT.',
  'tasks-waiting':
    'Tasks of a kind have waited for over a second; the line names the oldest, counts why tasks were not placed, and what stands against each worker for the oldest; a worker that would take it is not counted.',
  'workers-awaited':
    'Workers that may run what a former owner started have not answered the new owner yet.',
  'tasks-ended': 'Workers have listed ends for the first time, as TASK#RUN@WORKER=END.',
  'runs-stopped': 'Runs are to be stopped, for the reason given.',
  'runs-lost':
    'Runs are over without an end; the line tells when their worker last answered and how long its leases may last.',
  'runs-paced': 'Batch work beside services is to work at these paces.',
  'start-refused': 'A worker did not take a start; the task is placed again.',
  'start-unanswered': 'A start got no answer; its run is stopped before the task starts elsewhere.',
  'worker-reborn': 'A worker is another process than before; all that it ran is over.',
  'worker-unlisted': 'The table no longer lists a worker that the scheduler knew.',
  'log-lines-left-out': 'So many lines on requests were left out in the last second, by a limit.',
  'row-unreadable': 'A row of the table has another form than expected and is passed over.',
  'metrics-not-served': 'The address of the metrics cannot be listened on; all else goes on.',
  'settings-changed':
    'The settings file has changed; addresses in it count from the next start on.',
  'store-lost': 'Calls to the store fail; the daemon is not ready until one succeeds.',
  'store-regained': 'The store answers again.',
  'operator-state-in-force': 'What the operator has written is in force here.',
  'cell-lost': 'Another daemon schedules the availability zone from now on.',
} as const;

export type LogEvent = keyof typeof LOG_EVENTS;

/** Lines that tell of a decision on a request; under load some of them are left out. */
export const DECISION_EVENTS: ReadonlySet<LogEvent> = new Set([
  'submission-accepted',
  'submission-refused',
  'submission-unresolved',
  'submission-cancelled',
  'submission-ended',
  'tasks-started',
  'tasks-ended',
  'tasks-waiting',
  'runs-stopped',
  'runs-lost',
  'runs-paced',
  'start-refused',
  'start-unanswered',
]);

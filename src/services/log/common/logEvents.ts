/**
 * The complete list of log events, each a state change or a decision on a request, with its
 * description for operators. The type prevents other events; `docs/operations/LOG.md` is generated
 * from the list.
 */
export const LOG_EVENTS = {
  listening: 'The daemon has started; the line names its ports.',
  draining: 'The daemon was told to stop: it is no longer ready and accepts no new work.',
  drained: 'All requests in flight have been answered; the process ends.',
  'cut-off-at-shutdown': 'Requests were unanswered when the shutdown timed out; this is a fault.',
  'configuration-in-force': 'A new version of the configuration is in force on this daemon.',
  'configuration-cannot-be-learnt':
    'The configuration has not been confirmed for 3 s; no work is started, routing continues.',
  'configuration-confirmed-again': 'The configuration is confirmed again.',
  'cell-acquired': 'This daemon schedules the availability zone from now on.',
  'fleet-acquired': 'This daemon schedules all workers of the platform from now on.',
  'fleet-lost': 'This daemon no longer schedules the workers of the platform.',
  'starts-limited':
    'The owner is short of processor time; it starts fewer tasks until its steps are on time again.',
  'lease-renewed-late':
    'The owner renewed its lease late because its process was delayed or the table was slow.',
  'count-answered':
    'The number of waiting submissions of a queue was answered, by a version of the configuration that was in force at least until `ageMs` before.',
  'queue-not-found':
    'A request was refused because no queue has its host and path, by a version of the configuration that was in force at least until `ageMs` before.',
  'configuration-unconfirmed':
    'A request was refused because no configuration is known, or because the known one was last confirmed `ageMs` before and may have changed.',
  'submission-accepted': 'A submission is stored and will run.',
  'submission-refused': 'A submission was not stored and never runs; the line gives the reason.',
  'submission-unresolved': 'It is unknown whether a submission was stored; its caller was told so.',
  'submission-cancelled': 'A cancellation is stored.',
  'submission-ended': 'A submission has reached its final state because the named task ended.',
  'submissions-delayed':
    'Submissions ended later than their objective, or are still waiting at three times their objective; for each, the line gives the time that it waited by cause, the tasks that ranked higher and the obstacles on workers.',
  'tasks-started': 'Tasks were placed on workers and their starts sent, as TASK#RUN@WORKER+WAIT.',
  'tasks-resumed':
    'Tasks that save their progress and have run before were started again, as TASK#RUN=SOURCE:CHECKPOINT+AGE or TASK#RUN=none:REASON; the age is the time since the owner learnt of the checkpoint.',
  'tasks-waiting':
    'Tasks of a kind have waited for over a second; the line names the oldest one and counts the reasons why tasks were not placed and why workers cannot run the oldest one; a worker that could run it is not counted.',
  'room-short':
    'Tasks found no room; the line gives the processors of the workers that tasks may start on, by what holds them.',
  'workers-awaited':
    'Workers that may still run tasks of a former owner have not answered the new owner yet.',
  'tasks-ended':
    'Workers have reported the ends of runs for the first time, as TASK#RUN@WORKER=END.',
  'runs-stopped': 'Runs are being stopped for the given reason.',
  'runs-lost':
    'Runs were lost without a reported end; the line gives the last answer of their worker and the latest end of its leases.',
  'runs-paced': 'Batch tasks beside services are throttled to the given speeds.',
  'commit-failed':
    'A transaction of the scheduler failed; the line gives the number and the characters of its values, and the largest one.',
  'start-refused': 'A worker refused a start; the task is placed again.',
  'row-too-large':
    'The scheduler left out a row that is larger than the table stores. The state of a submission is divided into pages after that; any other row stays as it was stored last.',
  'start-withheld':
    'A start was not sent after it had waited for its turn; its submission, its worker or the ownership had changed, or the wait was too long. The task is placed again if it is still wanted.',
  'start-unanswered':
    'A start was not answered; its run is stopped before the task starts elsewhere.',
  'worker-reborn':
    'A worker has restarted as a new process; all its previous runs are over. The line gives the last acknowledged end of the former process, the number of runs and ends that the new process lists, and the runs whose starts either process may have received.',
  'worker-unlisted':
    'The table no longer lists a worker that the scheduler knew, or no task can run on its service any more.',
  'log-lines-left-out':
    'The rate limit dropped the given number of lines about requests in the last second.',
  'call-thrown':
    'A call to the store or to a worker threw instead of returning a failure, and counts as failed. This is a fault of the program; the line gives the stack.',
  'request-thrown':
    'The handling of a request threw, and its caller got an error of unknown outcome. This is a fault of the program; the line gives the stack.',
  'process-failed':
    'An exception that nothing handles ends the process. This is a fault of the program; the line gives the stack.',
  'row-unreadable':
    'A row of the table is malformed and is skipped; for an entry of a worker, the line gives the reason, once and for ten entries a read at most.',
  'metrics-not-served':
    'The daemon cannot listen on the metrics address; everything else continues.',
  'settings-changed':
    'The settings file has changed; changed addresses take effect at the next start.',
  'store-lost': 'Calls to the store fail; the daemon is not ready until one succeeds.',
  'store-regained': 'The store answers again.',
  'operator-state-in-force':
    "A new operator configuration or zone withdrawal is in force on this daemon, as of the given position of the store's feed. It was stored at most `ageLimitMs` ago: the last call that did not show it was sent then.",
  'cell-lost': 'Another daemon schedules the availability zone from now on.',
} as const;

export type LogEvent = keyof typeof LOG_EVENTS;

/** Events about decisions on requests; some of their lines are dropped under load. */
export const DECISION_EVENTS: ReadonlySet<LogEvent> = new Set([
  'count-answered',
  'queue-not-found',
  'request-thrown',
  'configuration-unconfirmed',
  'submission-accepted',
  'submission-refused',
  'submission-unresolved',
  'submission-cancelled',
  'submission-ended',
  'tasks-started',
  'tasks-ended',
  'tasks-resumed',
  'tasks-waiting',
  'runs-stopped',
  'runs-lost',
  'runs-paced',
  'commit-failed',
  'row-too-large',
  'start-refused',
  'start-withheld',
  'start-unanswered',
]);

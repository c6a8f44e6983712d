import { describe, expect, it } from 'vitest';

import { sourceText } from '../../../../tools/test/sourceText.js';
import { LOG_EVENTS } from '../common/logEvents.js';

/**
 * Events that each log one state change, with that change. A new event must be added here by hand,
 * so that it is reviewed: an event that is logged for each poll would bury the lines that an
 * operator has to see.
 */
const STATE_CHANGES: Readonly<Record<string, string>> = {
  listening: 'the process starts, once',
  draining: 'the process begins to stop, once',
  drained: 'the process has stopped, once',
  'cut-off-at-shutdown': 'the shutdown left requests unanswered, once',
  'configuration-in-force': 'the version in force changes',
  'configuration-cannot-be-learnt': 'confirmed to unconfirmed',
  'configuration-confirmed-again': 'unconfirmed to confirmed',
  'cell-acquired': 'another owner to this one',
  'cell-lost': 'this owner to another',
  'fleet-acquired': 'another owner to this one, with the state that it found',
  'fleet-lost': 'this owner to another',
  'lease-renewed-late': 'timely renewals to a late one, at most once in three fifths of a lease',
  'starts-limited': 'a lower limit of starts, at most three times a second',
  'metrics-not-served': 'the process starts without its metrics, once',
  'settings-changed': 'the settings file changes',
  'store-lost': 'reachable to unreachable',
  'store-regained': 'unreachable to reachable',
  'operator-state-in-force': 'the operator state changes',
  'worker-reborn': 'one process of a worker to another',
  'worker-unlisted': 'listed to unlisted',
  'workers-awaited': 'a new owner is still waiting for workers, once a second at most',
  'submissions-delayed': 'in time to late, once a submission; a line for up to ten of them',
  'room-short': 'tasks find no room, once a second at most',
  'log-lines-left-out': 'a limit was reached, once a second at most',
  'call-thrown': 'a call throws, once a second at most',
  'process-failed': 'the process ends for an exception, once',
  'row-unreadable': 'a row is skipped, once for each read',
};

/** Events that each log one decision on a request, with the request's id and the outcome. */
const DECISIONS: Readonly<Record<string, string>> = {
  'count-answered': 'a count answered; one line an answer',
  'request-thrown': 'answered as an internal error, because its handling threw',
  'queue-not-found': 'refused, by the version and age that the line gives',
  'configuration-unconfirmed': 'refused, because the configuration may have changed',
  'submission-accepted': 'stored, acknowledged',
  'submission-refused': 'not stored, refused',
  'submission-unresolved': 'unknown whether stored, abandoned',
  'submission-cancelled': 'a cancellation stored',
  'submission-ended': 'complete or failed, because its last task ended',
  'tasks-started': 'placed; one line for all starts within a fifth of a second',
  'tasks-ended': 'ends accepted; one line for all ends within a fifth of a second',
  'tasks-resumed':
    'started again with or without saved work; one line for all within a fifth of a second',
  'tasks-waiting': 'not placed, with counts by reason; once a second at most',
  'runs-stopped': 'stopped; one line for all runs stopped for the same reason',
  'runs-lost': 'over for certain without a reported end; one line a worker',
  'runs-paced': 'slowed or sped up; one line a worker',
  'commit-failed': 'a transaction without effect or answer; repeated',
  'start-refused': 'a worker refused a start; placed again',
  'row-too-large': 'a row left out of a transaction',
  'start-withheld': 'a start known not to have been sent',
  'start-unanswered': 'a start without an answer; its run is stopped first',
};

/** Matches the events in the source: calls of the log, and the choice of a cell's event. */
const EVENT_PATTERN =
  /\b(?:log|#log|services\.log)\s*\.(?:info|warn|error)\(\s*'([^']+)'|\b(?:decisionLog|this)\.add\(\s*'([^']+)'|'(cell-(?:acquired|lost))'/gu;

describe('log events', () => {
  it('are exactly the reviewed state changes and decisions', () => {
    const known = Object.keys({ ...STATE_CHANGES, ...DECISIONS });
    expect(Object.keys(LOG_EVENTS).sort()).toEqual(known.sort());
  });

  it('are exactly those that the source writes', async () => {
    const text = await sourceText(['logEvents.ts']);
    const written = new Set(
      [...text.matchAll(EVENT_PATTERN)].map(
        ([, event, decision, cell]) => event ?? decision ?? cell,
      ),
    );
    expect([...written].sort()).toEqual(Object.keys(LOG_EVENTS).sort());
  });
});

import { describe, expect, it } from 'vitest';

import { sourceText } from '../../../../tools/test/sourceText.js';
import { LOG_EVENTS } from '../common/logEvents.js';

/**
 * Lines that tell of one change of state each. A new line has to be added here by hand, with the
 * change that it tells of, or it does not get in: a line for each look would bury those that an
 * operator has to see.
 */
const CHANGES: Readonly<Record<string, string>> = {
  listening: 'the process starts, once',
  draining: 'the process begins to stop, once',
  drained: 'the process has stopped, once',
  'cut-off-at-shutdown': 'the shutdown has broken its promise, once',
  'configuration-in-force': 'the version in force moves',
  'configuration-cannot-be-learnt': 'confirmed to not confirmed',
  'configuration-confirmed-again': 'not confirmed to confirmed',
  'cell-acquired': 'another owner to this one',
  'cell-lost': 'this owner to another',
  'fleet-acquired': 'another owner to this one, with what it found',
  'fleet-lost': 'this owner to another',
  'lease-renewed-late': 'renewals in time to a late one, at most once in three fifths of a lease',
  'starts-limited': 'the limit of starts to a lower one, at most three times a second',
  'metrics-not-served': 'the process starts without its metrics, once',
  'settings-changed': 'the settings file moves',
  'store-lost': 'the store answers to the store fails',
  'store-regained': 'the store fails to the store answers',
  'operator-state-in-force': 'what operators have written moves',
  'worker-reborn': 'one process of a worker to another',
  'worker-unlisted': 'a worker is listed to it is not',
  'workers-awaited': 'a new owner has not heard all workers yet, once a second at most',
  'log-lines-left-out': 'a limit was reached, once a second at most',
  'row-unreadable': 'a row is believed in to a row is passed over, once for each reading',
};

/** Lines that tell of one decision each that touches a request, with its id and the outcome. */
const DECISIONS: Readonly<Record<string, string>> = {
  'submission-accepted': 'stored, acknowledged',
  'submission-refused': 'not stored, refused',
  'submission-unresolved': 'not known to be stored, given up on',
  'submission-cancelled': 'a cancellation stored',
  'submission-ended': 'complete or failed, by the end of its last task',
  'tasks-started': 'given room; one line for all of a fifth of a second',
  'tasks-ended': 'ends believed; one line for all of a fifth of a second',
  'tasks-waiting': 'not placed, with counts by reason; once a second at most',
  'runs-stopped': 'stopped, with the reason; one line for all that are stopped for it',
  'runs-lost': 'surely over without an end; one line a worker',
  'runs-paced': 'slowed or sped up; one line a worker',
  'start-refused': 'a worker did not take a start; placed again',
  'start-unanswered': 'a start without an answer; stopped first',
};

/** Where events stand: calls of the log, and the choice of a cell's event. */
const EVENT =
  /\b(?:log|#log|services\.log)\s*\.(?:info|warn|error)\(\s*'([^']+)'|\b(?:decisionLog|this)\.add\(\s*'([^']+)'|'(cell-(?:acquired|lost))'/gu;

describe('the lines of the log', () => {
  it('are a closed list of changes of state and of decisions on requests', () => {
    const known = Object.keys({ ...CHANGES, ...DECISIONS });
    expect(Object.keys(LOG_EVENTS).sort()).toEqual(known.sort());
  });

  it('are all written somewhere, and no other is', async () => {
    const text = await sourceText(['logEvents.ts']);
    const written = new Set(
      [...text.matchAll(EVENT)].map(([, event, note, cell]) => event ?? note ?? cell),
    );
    expect([...written].sort()).toEqual(Object.keys(LOG_EVENTS).sort());
  });
});

import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { FleetNotes } from '../../common/fleet/fleetNotes.js';

describe('what the scheduler tells the log', () => {
  it('has each end of a burst in it, in a few lines', () => {
    // A thousand tasks on fifty workers end within a second. One line for each list of a worker
    // would reach the log's limit and leave out the lines on submissions that were accepted.
    const notes = new FleetNotes();
    const lines: string[] = [];
    const take = (nowMs: number): void =>
      notes.drain(3, nowMs).forEach(({ fields }) => lines.push(String(fields.ends)));
    for (let index = 0; index < 1_000; index += 1) {
      const taskName = `00000000000000a1.0.0.${index}`;
      const ended = { sequence: index, taskName, run: 1, end: RunEnd.Done, checkpoint: '' };
      notes.addEnds(`worker-${index % 50}`, [ended], index);
      take(index);
    }
    take(1_200);
    expect(lines.length).toBeLessThanOrEqual(6);
    const told = lines.join(' ').split(' ');
    expect(told).toHaveLength(1_000);
    expect(told).toContain('00000000000000a1.0.0.999#1@worker-49=done');
  });
});

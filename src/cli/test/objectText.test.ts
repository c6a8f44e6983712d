import { describe, expect, it } from 'vitest';

import { objectText } from '../common/objectText.js';

describe('objectText', () => {
  it('prints a line for each value and a table for each list of objects', () => {
    const tasks = [
      { taskId: 'a/0', size: { acceleratorCount: 1 } },
      { taskId: 'a/10', checkpoint: null },
    ];
    expect(objectText({ jobId: 'a', tasks, size: { memoryBytes: 5 }, zones: ['x', 'y'] })).toBe(
      [
        'jobId             a',
        'size.memoryBytes  5',
        'zones             x,y',
        '',
        'tasks',
        'taskId  size.acceleratorCount  checkpoint',
        'a/0     1',
        'a/10',
      ].join('\n'),
    );
  });
});

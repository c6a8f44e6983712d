import { describe, expect, it } from 'vitest';

import { toOrigin } from '../common/instanceList.js';

describe('the origin of an instance', () => {
  it.each([
    ['10.1.2.3', 'http://10.1.2.3:8080'],
    ['entry-1.example', 'http://entry-1.example:8080'],
    ['::1', 'http://[::1]:8080'],
    ['[::1]', 'http://[::1]:8080'],
  ])('can be called at %s', (host, origin) => {
    expect(toOrigin({ host, port: 8_080 })).toBe(origin);
    expect(new URL(origin).origin).toBe(origin);
  });
});

import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: [
      'src/**/test/**/*.test.ts',
      'platform/test/**/*.test.ts',
      'standIns/**/test/**/*.test.ts',
      'bench/**/test/**/*.test.ts',
      'soak/test/**/*.test.ts',
      'tools/test/**/*.test.ts',
    ],
    setupFiles: ['tools/test/eventLoopTurns.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // A poll waits for an expected state. How long that takes depends only on how busy the machine
    // is. With the library's default limit of a second, tests failed on a slow machine although
    // the state was about to be reached.
    expect: { poll: { timeout: 20_000 } },
  },
});

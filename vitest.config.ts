import { defineConfig } from 'vitest/config';

const CROWD_TESTS = 'standIns/crowds/test/**/*.test.ts';

export default defineConfig({
  test: {
    setupFiles: ['tools/test/eventLoopTurns.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // A poll waits for an expected state. How long that takes depends only on how busy the machine
    // is. With the library's default limit of a second, tests failed on a slow machine although
    // the state was about to be reached.
    expect: { poll: { timeout: 20_000 } },
    projects: [
      {
        extends: true,
        test: {
          name: 'all',
          include: [
            'src/**/test/**/*.test.ts',
            'platform/test/**/*.test.ts',
            'standIns/**/test/**/*.test.ts',
            'bench/**/test/**/*.test.ts',
            'soak/test/**/*.test.ts',
            'tools/test/**/*.test.ts',
          ],
          exclude: [CROWD_TESTS],
        },
      },
      {
        extends: true,
        // Crowds start after all other tests, one file at a time: they check the memory and the
        // descriptors of processes that are under load.
        test: {
          name: 'crowds',
          include: [CROWD_TESTS],
          sequence: { groupOrder: 1 },
          poolOptions: { forks: { singleFork: true } },
        },
      },
    ],
  },
});

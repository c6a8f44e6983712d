import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: [
      'src/**/test/**/*.test.ts',
      'standIns/**/test/**/*.test.ts',
      'bench/**/test/**/*.test.ts',
      'soak/test/**/*.test.ts',
      'tools/test/**/*.test.ts',
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
  },
});

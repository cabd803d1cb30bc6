import {defineConfig} from 'vitest/config';

/**
 * Files of tests with whole hosts that run at a time. Their bounds are times that
 * callers wait, which hold only if the hosts get the processors that they need.
 */
const HOST_TEST_FILES = 4;

export default defineConfig({
  resolve: {conditions: ['source']},
  ssr: {resolve: {conditions: ['source']}},
  test: {
    testTimeout: 30_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'packages',
          include: ['packages/*/src/test/**/*_test.ts'],
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'platform',
          include: ['platform/src/test/**/*_test.ts'],
          maxWorkers: HOST_TEST_FILES,
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});

import {defineConfig} from 'vitest/config';

export default defineConfig({
  resolve: {conditions: ['source']},
  ssr: {resolve: {conditions: ['source']}},
  test: {
    include: ['{packages/*,platform}/src/test/**/*_test.ts'],
    testTimeout: 30_000,
  },
});

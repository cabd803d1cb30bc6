import js from '@eslint/js';
import {defineConfig, globalIgnores} from 'eslint/config';
import tseslint from 'typescript-eslint';

export default defineConfig(
  globalIgnores([
    '**/lib/',
    '**/generated/',
    'node_modules/',
    'target/',
    'dev-fleet/',
  ]),
  js.configs.recommended,
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        project: ['./tsconfig.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      // Numbers in messages are formatted on purpose; everything else in a
      // template stays an error.
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        {allowNumber: true},
      ],
    },
  },
  {
    files: [
      'eslint.config.js',
      'packages/*/bin/*.js',
      'platform/*.js',
      '.ci/*.js',
    ],
    extends: [tseslint.configs.disableTypeChecked],
  },
);

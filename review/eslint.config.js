import js from '@eslint/js';
import {defineConfig} from 'eslint/config';
import tseslint from 'typescript-eslint';

export default defineConfig(js.configs.recommended, tseslint.configs.strict, {
  languageOptions: {
    parserOptions: {tsconfigRootDir: import.meta.dirname},
    globals: {
      Buffer: 'readonly',
      clearInterval: 'readonly',
      clearTimeout: 'readonly',
      console: 'readonly',
      performance: 'readonly',
      process: 'readonly',
      setInterval: 'readonly',
      setTimeout: 'readonly',
      URL: 'readonly',
    },
  },
});

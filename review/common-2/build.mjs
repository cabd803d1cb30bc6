import {build} from 'esbuild';

/** Bundles the renderer of the settings template, which plain Node.js then runs. */
await build({
  entryPoints: {settings: 'platform/src/test/settings-template.ts'},
  outdir: 'target/review-2',
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  logLevel: 'warning',
});

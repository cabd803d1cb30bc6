import {build} from 'esbuild';

/** Bundles the project's renderer of the settings template. */
await build({
  entryPoints: ['platform/src/test/settings-template.ts'],
  outfile: 'target/review/settings-template.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
});

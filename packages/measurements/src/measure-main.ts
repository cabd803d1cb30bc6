import {parseArgs} from 'node:util';

import {CASES} from './cases/index.js';
import {runMain} from './run-main.js';

const USAGE = 'usage: npm run measure -- NAME --seed N | --list\n';
const USAGE_EXIT_CODE = 64;
const DEFAULT_SEED = '1';

function list(): void {
  for (const {name, description} of CASES) {
    process.stdout.write(`${name.padEnd(32)}${description}\n`);
  }
}

async function main(): Promise<void> {
  const {values, positionals} = parseArgs({
    allowPositionals: true,
    options: {
      seed: {type: 'string', default: DEFAULT_SEED},
      list: {type: 'boolean', default: false},
    },
  });
  if (values.list) {
    list();
    return;
  }
  const seed = Number(values.seed);
  const measureCase = CASES.find(({name}) => name === positionals[0]);
  if (measureCase === undefined || !Number.isSafeInteger(seed)) {
    process.stderr.write(USAGE);
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  await runMain(measureCase, seed);
}

await main();

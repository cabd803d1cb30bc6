import {DemoCase} from './cases/demo-case.js';
import {runMain} from './run-main.js';

const SEED = 1;

await runMain(new DemoCase(), SEED);

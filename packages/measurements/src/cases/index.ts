import type {MeasureCase} from '../measure-case.js';
import {CapacityRequestsCase} from './capacity-requests-case.js';
import {CapacitySlopesCase} from './capacity-slopes-case.js';
import {DemoCase} from './demo-case.js';

/** Every case; one file each, one line each here. */
export const CASES: readonly MeasureCase[] = [
  new DemoCase(),
  new CapacitySlopesCase(),
  new CapacityRequestsCase(),
];

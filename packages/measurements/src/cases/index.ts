import type {MeasureCase} from '../measure-case.js';
import {DemoCase} from './demo-case.js';

/** Every case; one file each, one line each here. */
export const CASES: readonly MeasureCase[] = [new DemoCase()];

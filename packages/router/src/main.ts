import {runBinary} from '@wisteriadeal/runtime';
import {RouterSettingsSchema} from '@wisteriadeal/schema';

import {startRouter} from './composition.js';

await runBinary(RouterSettingsSchema, startRouter);

import {EventLog, runBinary, SystemClock} from '@wisteriadeal/runtime';
import {
  PlainServiceStandInSettingsSchema,
  type PlainServiceStandInSettings,
} from '@wisteriadeal/schema';

import {PlainServiceStandIn} from './plain-service-stand-in.js';
import {requireProcess} from './require-process.js';
import {StandInServer} from './stand-in-server.js';
import {SeededRandomSource} from './testing/seeded-random-source.js';

async function start(settings: PlainServiceStandInSettings) {
  const process = requireProcess(settings.process);
  const log = EventLog.create(process.logLevel, {
    process: 'plain-service',
    name: process.name,
  });
  const random = new SeededRandomSource(process.seed);
  const service = new PlainServiceStandIn(settings, new SystemClock(), random);
  return await StandInServer.listen(process, log, routes => {
    service.register(routes);
  });
}

await runBinary(PlainServiceStandInSettingsSchema, start);

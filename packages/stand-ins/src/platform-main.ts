import {EventLog, runBinary, SystemClock} from '@wisteriadeal/runtime';
import {
  PlatformStandInSettingsSchema,
  type PlatformStandInSettings,
} from '@wisteriadeal/schema';

import {PlatformStandIn} from './platform-stand-in.js';
import {requireProcess} from './require-process.js';
import {StandInServer} from './stand-in-server.js';
import {SeededRandomSource} from './testing/seeded-random-source.js';

async function start(settings: PlatformStandInSettings) {
  const process = requireProcess(settings.process);
  const log = EventLog.create(process.logLevel, {
    process: 'platform',
    name: process.name,
  });
  const random = new SeededRandomSource(process.seed);
  const standIn = new PlatformStandIn(settings, new SystemClock(), random);
  const server = await StandInServer.listen(process, log, routes => {
    standIn.register(routes);
  });
  return {
    close: async () => {
      standIn.close();
      await server.close();
    },
  };
}

await runBinary(PlatformStandInSettingsSchema, start);

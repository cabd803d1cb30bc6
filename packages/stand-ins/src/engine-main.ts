import {EventLog, runBinary, SystemClock} from '@wisteriadeal/runtime';
import {
  EngineStandInSettingsSchema,
  type EngineStandInSettings,
} from '@wisteriadeal/schema';

import {EngineStandIn} from './engine-stand-in.js';
import {requireProcess} from './require-process.js';
import {StandInServer} from './stand-in-server.js';
import {SeededRandomSource} from './testing/seeded-random-source.js';

async function start(settings: EngineStandInSettings) {
  const process = requireProcess(settings.process);
  const log = EventLog.create(process.logLevel, {
    process: 'engine',
    name: process.name,
  });
  const random = new SeededRandomSource(process.seed);
  const engine = new EngineStandIn(settings, new SystemClock(), random);
  const server = await StandInServer.listen(process, log, routes => {
    engine.register(routes);
  });
  const tasks = Promise.all([engine.runSteps(), engine.runReports()]);
  return {
    close: async () => {
      engine.close();
      await tasks;
      await server.close();
    },
  };
}

await runBinary(EngineStandInSettingsSchema, start);

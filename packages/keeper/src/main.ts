import {runBinary} from '@wisteriadeal/runtime';
import {KeeperSettingsSchema, type KeeperSettings} from '@wisteriadeal/schema';

import {keeperContainer, keeperDependencies} from './composition.js';
import {Keeper} from './keeper.js';

async function startKeeper(settings: KeeperSettings) {
  const dependencies = keeperDependencies(keeperContainer(settings));
  const keeper = await Keeper.start(settings, dependencies);
  return {
    close: async () => {
      await keeper.close();
      await dependencies.log.close();
      await dependencies.hostList.close();
      await dependencies.metrics.close();
    },
  };
}

await runBinary(KeeperSettingsSchema, startKeeper);

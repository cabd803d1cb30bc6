import {runBinary} from '@wisteriadeal/runtime';
import {KeeperSettingsSchema, type KeeperSettings} from '@wisteriadeal/schema';

import {keeperContainer, surroundingsOf} from './composition.js';
import {Keeper} from './keeper.js';

async function startKeeper(settings: KeeperSettings) {
  const surroundings = surroundingsOf(keeperContainer(settings));
  const keeper = await Keeper.start(settings, surroundings);
  return {
    close: async () => {
      await keeper.close();
      await surroundings.log.close();
      await surroundings.hostList.close();
      await surroundings.metrics.close();
    },
  };
}

await runBinary(KeeperSettingsSchema, startKeeper);

import {
  HttpHostList,
  HttpLogClient,
  type Clock,
  type HostList,
  type LogClient,
} from '@wisteriadeal/platform';
import {SystemClock} from '@wisteriadeal/runtime';

import type {CheckedSettings} from './command-settings.js';

/** The viewer name that the command line sends to the host list. */
const HOST_LIST_VIEWER = 'operator';

/**
 * The clients that a command uses, with the settings they were created from.
 */
export interface Connections {
  readonly settings: CheckedSettings;
  readonly log: LogClient;
  readonly hostList: HostList;
  readonly clock: Clock;
  close(): Promise<void>;
}

/** Creates the clients; sends nothing yet. */
export function connect(settings: CheckedSettings): Connections {
  const {logUrl, hostListUrl, timeoutMilliseconds} = settings.platform;
  const log = new HttpLogClient({url: logUrl, timeoutMilliseconds});
  const hostList = new HttpHostList({
    url: hostListUrl,
    viewer: HOST_LIST_VIEWER,
    timeoutMilliseconds,
  });
  return {
    settings,
    log,
    hostList,
    clock: new SystemClock(),
    close: async () => {
      await Promise.all([log.close(), hostList.close()]);
    },
  };
}

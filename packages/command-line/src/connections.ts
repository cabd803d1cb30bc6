import {
  HttpHostList,
  HttpLogClient,
  type Clock,
  type HostList,
  type LogClient,
} from '@wisteriadeal/platform';
import {SystemClock} from '@wisteriadeal/runtime';

import type {CheckedSettings} from './command-settings.js';

/** Name under which the command line reads the host list. */
const HOST_LIST_VIEWER = 'operator';

/** What a command reaches of the world outside. */
export interface Connections {
  readonly settings: CheckedSettings;
  readonly log: LogClient;
  readonly hostList: HostList;
  readonly clock: Clock;
  close(): Promise<void>;
}

/** Makes the clients that the settings describe; nothing is sent yet. */
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

import {ListedState, StepError} from '@wisteriadeal/platform';

import type {Connections} from './connections.js';
import {InspectionClient} from './inspection-client.js';

/** Concurrent queries; bounds the load that one command puts on the fleet. */
const MAXIMUM_CONCURRENT_QUERIES = 16;

/** A process of the fleet that can be queried. */
export interface FleetProcess {
  readonly host: string;
  readonly dataCenter: string;
  readonly process: string;
  readonly state: string;
  readonly address: string;
}

/** A process's answer to a query, or why there is none. */
export interface ProcessAnswer extends FleetProcess {
  /** Undefined if the process has no data on it, or could not be reached. */
  readonly answer: unknown;
  /** Why the process could not be reached; undefined if it answered. */
  readonly failure: string | undefined;
}

/**
 * Returns the processes of the platform's host list. While the list is
 * unavailable, returns those of the setting `controlAddresses`, whose host,
 * data centre and process are unknown and empty.
 *
 * @throws StepError if the list can't be read and the setting is empty.
 */
export async function listFleetProcesses(
  connections: Connections,
): Promise<readonly FleetProcess[]> {
  try {
    const {hosts} = await connections.hostList.read();
    return hosts.flatMap(({host, dataCenter, state, ...addresses}) => [
      {
        host,
        dataCenter,
        state,
        process: 'keeper',
        address: addresses.keeperAddress,
      },
      {
        host,
        dataCenter,
        state,
        process: 'router',
        address: addresses.routerControlAddress,
      },
    ]);
  } catch (error) {
    const {controlAddresses} = connections.settings;
    if (!(error instanceof StepError) || controlAddresses.length === 0) {
      throw error;
    }
    return controlAddresses.map(address => ({
      host: '',
      dataCenter: '',
      process: '',
      state: ListedState.Live,
      address,
    }));
  }
}

async function queryProcess(
  target: FleetProcess,
  query: (client: InspectionClient) => Promise<unknown>,
): Promise<ProcessAnswer> {
  const client = new InspectionClient(target.address);
  try {
    return {...target, answer: await query(client), failure: undefined};
  } catch (error) {
    if (!(error instanceof StepError)) {
      throw error;
    }
    return {...target, answer: undefined, failure: error.reason};
  } finally {
    client.close();
  }
}

/**
 * Sends every process the same query, up to 16 at a time. A process that can't
 * be reached is reported in the result and isn't an error: operators mostly run
 * these commands when some processes are unreachable.
 *
 * @example
 * ```ts
 * const answers = await queryProcesses(processes, client =>
 *   client.dump(4_096),
 * );
 * ```
 */
export async function queryProcesses(
  targets: readonly FleetProcess[],
  query: (client: InspectionClient) => Promise<unknown>,
): Promise<readonly ProcessAnswer[]> {
  const answers: ProcessAnswer[] = [];
  const pending = [...targets];
  const queryPending = async () => {
    for (let next = pending.shift(); next; next = pending.shift()) {
      answers.push(await queryProcess(next, query));
    }
  };
  await Promise.all(
    Array.from({length: MAXIMUM_CONCURRENT_QUERIES}, queryPending),
  );
  return answers.sort((one, other) =>
    `${one.dataCenter} ${one.host} ${one.process}`.localeCompare(
      `${other.dataCenter} ${other.host} ${other.process}`,
    ),
  );
}

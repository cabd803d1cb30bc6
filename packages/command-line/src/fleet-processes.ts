import {ListedState, StepError} from '@wisteriadeal/platform';

import type {Connections} from './connections.js';
import {InspectionClient} from './inspection-client.js';

/** Processes asked at once: an operator's question is no load on the fleet. */
const MAXIMUM_CONCURRENT_QUERIES = 16;

/** A process of the fleet that can be asked. */
export interface FleetProcess {
  readonly host: string;
  readonly dataCenter: string;
  readonly process: string;
  readonly state: string;
  readonly address: string;
}

/** What one process answered. */
export interface ProcessAnswer extends FleetProcess {
  /** Undefined where it knows nothing, or could not be asked. */
  readonly answer: unknown;
  /** Why it could not be asked. */
  readonly failure: string | undefined;
}

/**
 * The processes of the platform's list; while the list is away, those that the
 * settings name.
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
 * Asks every process the same question, a few at a time. A process that can't be
 * reached is part of the answer and no error: that is when operators ask.
 *
 * @example
 * ```ts
 * const answers = await survey(processes, client => client.dump(4_096));
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

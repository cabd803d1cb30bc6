import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {InspectionService} from '@wisteriadeal/schema';

import type {Fleet} from './fleet.js';
import type {ManagedProcess} from './managed-process.js';
import {pause, waitUntil} from './waiting.js';

const LOOK_MILLISECONDS = 50;
const DUMP_LIMIT_MILLISECONDS = 1_000;
const DUMP_BYTES = 65_536;

interface Dump {
  readonly configurationVersion: number;
}

async function versionOf(controlAddress: string): Promise<number | undefined> {
  const transport = createConnectTransport({
    baseUrl: `http://${controlAddress}`,
    httpVersion: '2',
  });
  const client = createClient(InspectionService, transport);
  try {
    const {stateJson} = await client.dump(
      {maximumBytes: DUMP_BYTES},
      {timeoutMs: DUMP_LIMIT_MILLISECONDS},
    );
    return (JSON.parse(stateJson) as Dump).configurationVersion;
  } catch {
    return undefined;
  }
}

/**
 * Watches the configuration version of every router and keeper by their dumps,
 * and notices one that goes back.
 */
export class VersionWatch {
  private readonly latest = new Map<string, number>();
  private readonly stopping = new AbortController();
  private reverted = 0;

  constructor(private readonly fleet: Fleet) {}

  /** Times that any process showed a lower version than before. */
  get reverts(): number {
    return this.reverted;
  }

  /** Looks until it is closed. */
  async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const hosts = [...this.fleet.hosts];
      const processes = hosts.flatMap(({router, keeper}) => [router, keeper]);
      await Promise.all(processes.map(child => this.look(child)));
      await pause(LOOK_MILLISECONDS);
    }
  }

  /**
   * Waits until every process of some hosts shows a version.
   *
   * @returns Seconds from the call; -1 where it did not come in time.
   */
  async secondsUntil(
    version: number,
    processes: () => readonly ManagedProcess[],
    limitMilliseconds: number,
  ): Promise<number> {
    const startedAt = performance.now();
    const reached = await waitUntil(
      () =>
        Promise.resolve(
          processes().every(
            child => (this.latest.get(child.name) ?? 0) >= version,
          ),
        ),
      limitMilliseconds,
    );
    return reached ? Math.round(performance.now() - startedAt) / 1_000 : -1;
  }

  /** The version that a process showed last; 0 for none. */
  versionOf(child: ManagedProcess): number {
    return this.latest.get(child.name) ?? 0;
  }

  /** Ends the looking. */
  close(): void {
    this.stopping.abort();
  }

  private async look(child: ManagedProcess): Promise<void> {
    const version = await versionOf(child.address('controlAddress'));
    if (version === undefined) {
      return;
    }
    const before = this.latest.get(child.name) ?? 0;
    if (version < before) {
      this.reverted++;
    }
    this.latest.set(child.name, version);
  }
}

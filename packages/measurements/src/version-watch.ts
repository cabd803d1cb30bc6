import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {InspectionService} from '@wisteriadeal/schema';

import type {Fleet} from './fleet.js';
import type {ManagedProcess} from './managed-process.js';
import {pause, waitUntil} from './waiting.js';

const POLL_INTERVAL_MILLISECONDS = 50;
const DUMP_TIMEOUT_MILLISECONDS = 1_000;
const MAXIMUM_DUMP_BYTES = 65_536;

interface Dump {
  readonly configurationVersion: number;
}

async function readVersion(
  controlAddress: string,
): Promise<number | undefined> {
  const transport = createConnectTransport({
    baseUrl: `http://${controlAddress}`,
    httpVersion: '2',
  });
  const client = createClient(InspectionService, transport);
  try {
    const {stateJson} = await client.dump(
      {maximumBytes: MAXIMUM_DUMP_BYTES},
      {timeoutMs: DUMP_TIMEOUT_MILLISECONDS},
    );
    return (JSON.parse(stateJson) as Dump).configurationVersion;
  } catch {
    return undefined;
  }
}

/**
 * Polls the configuration version of all routers and keepers through their inspection
 * service, and counts returns to an older version.
 */
export class VersionWatch {
  private readonly latest = new Map<string, number>();
  private readonly stopping = new AbortController();
  private reverted = 0;

  constructor(private readonly fleet: Fleet) {}

  /** Number of times that a process reported a lower version than before. */
  get reverts(): number {
    return this.reverted;
  }

  /** Polls every 50 ms until the watch is closed. */
  async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const hosts = [...this.fleet.hosts];
      const processes = hosts.flatMap(({router, keeper}) => [router, keeper]);
      await Promise.all(processes.map(child => this.poll(child)));
      await pause(POLL_INTERVAL_MILLISECONDS);
    }
  }

  /**
   * Waits until all given processes report a version or a newer one.
   *
   * @returns Seconds since the call, or -1 if the time limit was reached first.
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

  /** Returns the version that a process reported last, or 0 if it has reported none. */
  versionOf(child: ManagedProcess): number {
    return this.latest.get(child.name) ?? 0;
  }

  /** Stops polling. */
  close(): void {
    this.stopping.abort();
  }

  private async poll(child: ManagedProcess): Promise<void> {
    const version = await readVersion(child.address('controlAddress'));
    if (version === undefined) {
      return;
    }
    const previous = this.latest.get(child.name) ?? 0;
    if (version < previous) {
      this.reverted++;
    }
    this.latest.set(child.name, version);
  }
}

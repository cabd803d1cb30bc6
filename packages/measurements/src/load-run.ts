import type {SeededRandomSource} from '@wisteriadeal/stand-ins';

import {CallerClient} from './caller-client.js';
import type {CallerRequest} from './caller-request.js';
import {ResultKind, type CallerResult} from './caller-result.js';
import type {Fleet} from './fleet.js';
import {RequestRecord} from './request-record.js';
import {pause} from './waiting.js';

const FIRST_BACKOFF_MILLISECONDS = 100;
const LONGEST_BACKOFF_MILLISECONDS = 2_000;

/** How callers behave. */
export interface LoadOptions {
  /** Requests in progress at once. */
  readonly concurrency: number;
  /** Exchanges for one request at most. */
  readonly mostAttempts: number;
  /** Share (0 to 1) of answered requests with a key that are asked for again. */
  readonly repeatShare: number;
  /** Pause of each caller between two requests. */
  readonly pauseMilliseconds: number;
}

const RETRIED_PROBLEMS: ReadonlySet<string> = new Set([
  'overloaded',
  'unavailable',
  'draining',
]);

/**
 * Sends requests as callers do: to any host, again with the same key where the
 * connection broke or the host said to come back, and at another host then.
 */
export class LoadRun {
  readonly records: RequestRecord[] = [];
  private readonly clients = new Map<string, CallerClient>();

  constructor(
    private readonly fleet: Fleet,
    private readonly random: SeededRandomSource,
    private readonly options: LoadOptions,
  ) {}

  /** Sends all requests, and resolves when each has its last result. */
  async send(requests: readonly CallerRequest[]): Promise<void> {
    const waiting = [...requests];
    const caller = async () => {
      for (let next = waiting.shift(); next; next = waiting.shift()) {
        await this.sendOne(next);
        await pause(this.options.pauseMilliseconds);
      }
    };
    await Promise.all(Array.from({length: this.options.concurrency}, caller));
  }

  /**
   * Sends requests until told to stop, and resolves when each has its last
   * result.
   *
   * @param make Makes the next request.
   */
  async sendUntil(
    stopped: AbortSignal,
    make: () => CallerRequest,
  ): Promise<void> {
    const caller = async () => {
      while (!stopped.aborted) {
        await this.sendOne(make());
        await pause(this.options.pauseMilliseconds);
      }
    };
    await Promise.all(Array.from({length: this.options.concurrency}, caller));
  }

  /** Ends open connections. */
  async close(): Promise<void> {
    await Promise.all([...this.clients.values()].map(client => client.close()));
  }

  private async sendOne(request: CallerRequest): Promise<void> {
    const record = new RequestRecord(request);
    this.records.push(record);
    for (let attempt = 1; attempt <= this.options.mostAttempts; attempt++) {
      const result = await this.exchange(request);
      record.add(result);
      if (!mayRetry(request, result)) {
        break;
      }
      await pause(backoff(attempt, result));
    }
    await this.repeat(record);
  }

  /** Asks again for what was answered, as a caller does that lost its copy. */
  private async repeat(record: RequestRecord): Promise<void> {
    const answered = record.final?.kind === ResultKind.Answered;
    const chosen = this.random.fraction() < this.options.repeatShare;
    if (answered && chosen && record.request.key !== undefined) {
      record.add(await this.exchange(record.request));
    }
  }

  private exchange(request: CallerRequest): Promise<CallerResult> {
    const {callerAddresses} = this.fleet;
    const chosen = this.random.below(callerAddresses.length);
    return this.client(callerAddresses[chosen] ?? '').send(request);
  }

  private client(address: string): CallerClient {
    const known = this.clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const client = new CallerClient(address);
    this.clients.set(address, client);
    return client;
  }
}

function mayRetry(request: CallerRequest, result: CallerResult): boolean {
  if (result.kind === ResultKind.Lost) {
    return request.key !== undefined;
  }
  return RETRIED_PROBLEMS.has(result.problem);
}

function backoff(attempt: number, result: CallerResult): number {
  const own = FIRST_BACKOFF_MILLISECONDS * 2 ** (attempt - 1);
  const wanted = Math.max(own, result.retryAfterMilliseconds);
  return Math.min(wanted, LONGEST_BACKOFF_MILLISECONDS);
}

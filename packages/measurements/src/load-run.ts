import type {SeededRandomSource} from '@wisteriadeal/stand-ins';

import {CallerClient} from './caller-client.js';
import type {CallerRequest} from './caller-request.js';
import {ResultKind, type CallerResult} from './caller-result.js';
import type {Fleet} from './fleet.js';
import {RequestRecord} from './request-record.js';
import {pause} from './waiting.js';

const INITIAL_BACKOFF_MILLISECONDS = 100;
const MAXIMUM_BACKOFF_MILLISECONDS = 2_000;

/** Behaviour of the simulated callers. */
export interface LoadOptions {
  /** Number of callers, each with at most one request in progress. */
  readonly concurrency: number;
  /**
   * Maximum number of exchanges for one request, before any repeat of an answered one.
   */
  readonly maximumAttempts: number;
  /**
   * Share (0 to 1) of answered requests with an idempotency key that are sent again.
   */
  readonly repeatShare: number;
  /** Pause of each caller between two requests, in milliseconds. */
  readonly pauseMilliseconds: number;
}

const RETRIED_PROBLEMS: ReadonlySet<string> = new Set([
  'overloaded',
  'unavailable',
  'draining',
]);

/**
 * Sends requests as callers do: each exchange goes to a random host. A request that was
 * refused temporarily is retried; after a broken connection, a request is retried only
 * if it has an idempotency key. Retries send the same key.
 */
export class LoadRun {
  readonly records: RequestRecord[] = [];
  private readonly clients = new Map<string, CallerClient>();

  constructor(
    private readonly fleet: Fleet,
    private readonly random: SeededRandomSource,
    private readonly options: LoadOptions,
  ) {}

  /** Sends all requests and resolves when each has its final result. */
  async send(requests: readonly CallerRequest[]): Promise<void> {
    const queue = [...requests];
    const caller = async () => {
      for (let next = queue.shift(); next; next = queue.shift()) {
        await this.sendOne(next);
        await pause(this.options.pauseMilliseconds);
      }
    };
    await Promise.all(Array.from({length: this.options.concurrency}, caller));
  }

  /**
   * Sends requests until a signal is aborted, and resolves when each has its final
   * result.
   *
   * @param createRequest Returns the next request.
   */
  async sendUntil(
    stopped: AbortSignal,
    createRequest: () => CallerRequest,
  ): Promise<void> {
    const caller = async () => {
      while (!stopped.aborted) {
        await this.sendOne(createRequest());
        await pause(this.options.pauseMilliseconds);
      }
    };
    await Promise.all(Array.from({length: this.options.concurrency}, caller));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.clients.values()].map(client => client.close()));
  }

  private async sendOne(request: CallerRequest): Promise<void> {
    const record = new RequestRecord(request);
    this.records.push(record);
    for (let attempt = 1; attempt <= this.options.maximumAttempts; attempt++) {
      const result = await this.exchange(request);
      record.add(result);
      if (!isRetryable(request, result)) {
        break;
      }
      await pause(backoff(attempt, result));
    }
    await this.repeatAnswered(record);
  }

  /**
   * Repeats a share of the answered requests, as a caller does that lost the answer.
   */
  private async repeatAnswered(record: RequestRecord): Promise<void> {
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
    const existing = this.clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const client = new CallerClient(address);
    this.clients.set(address, client);
    return client;
  }
}

function isRetryable(request: CallerRequest, result: CallerResult): boolean {
  if (result.kind === ResultKind.Lost) {
    return request.key !== undefined;
  }
  return RETRIED_PROBLEMS.has(result.problem);
}

function backoff(attempt: number, result: CallerResult): number {
  const exponential = INITIAL_BACKOFF_MILLISECONDS * 2 ** (attempt - 1);
  const delay = Math.max(exponential, result.retryAfterMilliseconds);
  return Math.min(delay, MAXIMUM_BACKOFF_MILLISECONDS);
}

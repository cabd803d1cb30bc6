import {Counter, Gauge, Histogram, Registry} from 'prom-client';

import type {RequestRecord} from './request-record.js';

/** Seconds; from a plain call's few milliseconds to a long stream. */
const DURATION_BUCKETS = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
];

/** Counters and latencies of a gateway, served as text. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'wisteriadeal_requests_total',
    help: 'Requests ended, by outcome and status.',
    labelNames: ['outcome', 'status'],
    registers: [this.registry],
  });
  private readonly durations = new Histogram({
    name: 'wisteriadeal_request_seconds',
    help: 'From the arrival of the headers to the end, by outcome.',
    labelNames: ['outcome'],
    buckets: DURATION_BUCKETS,
    registers: [this.registry],
  });
  private readonly resends = new Counter({
    name: 'wisteriadeal_resends_total',
    help: 'Further endpoints that requests were sent to.',
    registers: [this.registry],
  });
  private readonly states = new Gauge({
    name: 'wisteriadeal_state',
    help: 'What the process believes: one sample a name.',
    labelNames: ['name'],
    registers: [this.registry],
  });

  /** Counts a request that has ended. */
  requestEnded(record: RequestRecord, tookMilliseconds: number): void {
    const outcome = record.outcome;
    this.requests.inc({outcome, status: String(record.status)});
    this.durations.observe({outcome}, tookMilliseconds / 1_000);
    this.resends.inc(Math.max(0, record.attempts.length - 1));
  }

  /** Sets what the process believes. */
  state(name: string, value: number): void {
    this.states.set({name}, value);
  }

  /** All metrics as text, and its content type. */
  async text(): Promise<{readonly type: string; readonly body: string}> {
    return {
      type: this.registry.contentType,
      body: await this.registry.metrics(),
    };
  }
}

import {
  chosenPolicies,
  DeadlineRefusal,
  DecisionKind,
  LoadCore,
  WorkClass,
  WorkOutcome,
  type Decision,
  type WorkItem,
} from '@wisteriadeal/decisions';

import {SeededRandom} from './decisions-random.js';

/** Processor time of decisions at one fleet and queue size. */
export interface DecisionCost {
  readonly endpoints: number;
  readonly queued: number;
  /** Median over batches of the time to offer one request and end another. */
  readonly microsecondsPerRequest: number;
}

const SLOTS = 16;
const ORGANISATIONS = 100;
const PREFIXES = 1_000;
const BATCHES = 60;
const REQUESTS_PER_BATCH = 500;
/** Batches left out because the just-in-time compiler is still optimising. */
const WARM_UP_BATCHES = 20;
/** Used as a queue length and as a deadline in milliseconds. */
const EFFECTIVELY_UNLIMITED = 1e9;
const FILLED_SHARE = 0.7;

/** Refuses no request early, so that the queue keeps its size. */
class NoEarlyRefusal extends DeadlineRefusal {
  override refuse(): undefined {
    return undefined;
  }
}

/** Benchmarks a load core with a given number of endpoints and queued requests. */
class DecisionBenchmark {
  private readonly random: SeededRandom;
  private readonly core: LoadCore;
  private readonly running: {requestId: string; endpoint: string}[] = [];
  private nextRequest = 0;
  private now = 0;

  constructor(
    seed: number,
    private readonly endpoints: number,
    private readonly queued: number,
  ) {
    this.random = new SeededRandom(seed, 'cost');
    const fraction = () => this.random.fraction();
    this.core = new LoadCore({
      dataCenter: 'kigali-1',
      maximumQueuedRequests: EFFECTIVELY_UNLIMITED,
      fraction,
      policies: {...chosenPolicies(fraction), refusal: new NoEarlyRefusal()},
    });
    const list = Array.from({length: endpoints}, (_, position) => ({
      endpoint: `engine-${position}`,
      service: 'tutor-models',
      models: ['tutor-7b'],
      dataCenter: 'kigali-1',
      slots: SLOTS,
      leaving: false,
    }));
    this.core.updateEndpoints(list, 0);
  }

  /** Returns the microseconds per request of the median batch. */
  run(): number {
    this.fill();
    const times: number[] = [];
    for (let batch = 0; batch < BATCHES; batch++) {
      const startedAt = performance.now();
      for (let request = 0; request < REQUESTS_PER_BATCH; request++) {
        this.now += 1;
        this.offer();
        this.finishOne();
      }
      const elapsed = performance.now() - startedAt;
      if (batch >= WARM_UP_BATCHES) {
        times.push((elapsed * 1_000) / REQUESTS_PER_BATCH);
      }
    }
    times.sort((left, right) => left - right);
    return times[Math.floor(times.length / 2)] ?? 0;
  }

  /** Fills all slots if requests are to be queued, and 70 % of them otherwise. */
  private fill(): void {
    const slots = this.endpoints * SLOTS;
    const requests =
      this.queued === 0
        ? Math.floor(slots * FILLED_SHARE)
        : slots + this.queued;
    for (let request = 0; request < requests; request++) {
      this.offer();
    }
  }

  private offer(): void {
    const decision = this.core.offer(this.nextItem(), this.now);
    this.trackPlacement(decision);
    if (decision.kind === DecisionKind.Refuse) {
      throw new Error(
        `benchmark request ${decision.requestId} was refused: ${decision.reason}`,
      );
    }
  }

  private finishOne(): void {
    const position = this.random.between(0, this.running.length - 1);
    const ended = this.running[position];
    const last = this.running.pop();
    if (ended === undefined || last === undefined) {
      return;
    }
    if (ended !== last) {
      this.running[position] = last;
    }
    const {requestId, endpoint} = ended;
    this.core.firstToken(requestId, this.now);
    const result = {
      endpoint,
      outcome: WorkOutcome.Answered,
      promptTokens: 800,
      outputTokens: 80,
    };
    for (const decision of this.core.finished(requestId, result, this.now)) {
      this.trackPlacement(decision);
    }
  }

  private trackPlacement(decision: Decision): void {
    if (decision.kind === DecisionKind.Place) {
      const {requestId, endpoint} = decision;
      this.running.push({requestId, endpoint});
    }
  }

  private nextItem(): WorkItem {
    const isBatch = this.random.fraction() < 0.3;
    return {
      requestId: `request-${this.nextRequest++}`,
      organisation: `organisation-${this.random.between(1, ORGANISATIONS)}`,
      weight: 1,
      workClass: isBatch ? WorkClass.Batch : WorkClass.Interactive,
      service: 'tutor-models',
      model: 'tutor-7b',
      promptTokens: 800,
      maximumOutputTokens: 133,
      prefixHashes: ['service', `prefix-${this.random.between(1, PREFIXES)}`],
      deadlineAt:
        EFFECTIVELY_UNLIMITED + this.random.fraction() * EFFECTIVELY_UNLIMITED,
    };
  }
}

/**
 * Measures one size. The times depend on the machine; how they grow with the size
 * doesn't.
 */
export function measureDecisionCost(
  seed: number,
  endpoints: number,
  queued: number,
): DecisionCost {
  const bench = new DecisionBenchmark(seed, endpoints, queued);
  const microseconds = bench.run();
  return {
    endpoints,
    queued,
    microsecondsPerRequest: Math.round(microseconds * 100) / 100,
  };
}

/** What a modelled engine is like. Times in milliseconds. */
export interface EngineModel {
  readonly endpoint: string;
  readonly dataCenter: string;
  /** Sequences in one batch. */
  readonly slots: number;
  /** Tokens of prompt prefixes that its cache holds. */
  readonly cacheTokens: number;
  /** Multiplies the time of each step; may change with time. */
  readonly slowness: (now: number) => number;
}

/** A step of an empty batch. */
const BASE_STEP_MILLISECONDS = 20;
/** Added by each sequence of the batch. */
const SEQUENCE_STEP_MILLISECONDS = 0.75;
/** Added by each prompt token worked on in the step. */
const PREFILL_TOKEN_MILLISECONDS = 0.08;
/** Prompt tokens worked on in one step, over all sequences. */
const PREFILL_TOKENS_PER_STEP = 512;

/** Engine time that a request takes in batches of so many, without any cache. */
export function workMilliseconds(
  promptTokens: number,
  outputTokens: number,
  slots: number,
): number {
  const token = BASE_STEP_MILLISECONDS / slots + SEQUENCE_STEP_MILLISECONDS;
  return promptTokens * PREFILL_TOKEN_MILLISECONDS + outputTokens * token;
}

/** One request at an engine. */
export interface Sequence {
  readonly requestId: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Cumulative: prefix i covers so many tokens of the prompt. */
  readonly prefixes: readonly {
    readonly hash: string;
    readonly tokens: number;
  }[];
  /** Lower goes first, as engines honour priorities. */
  readonly priority: number;
  /** Tokens found in the cache; set when it starts. */
  cachedTokens: number;
  prefillLeft: number;
  generated: number;
}

/** What one step of the batch brought. */
export interface StepResult {
  readonly firstTokens: readonly Sequence[];
  readonly finished: readonly Sequence[];
}

/**
 * A model engine that batches continuously: every step gives each running
 * sequence one token, and takes longer the more sequences there are and the more
 * prompt tokens it works on beside them.
 */
export class ModelledEngine {
  private readonly running = new Set<Sequence>();
  private readonly waiting: Sequence[] = [];
  /** Least recently used first. */
  private readonly cache = new Map<string, number>();
  private cachedTotal = 0;
  private stepPrefill = new Map<Sequence, number>();
  /** Hashes that entered the cache since the last report. */
  announced: string[] = [];
  cacheSequence = 0;

  constructor(readonly model: EngineModel) {}

  get isIdle(): boolean {
    return this.running.size === 0 && this.waiting.length === 0;
  }

  get runningCount(): number {
    return this.running.size;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  add(sequence: Sequence): void {
    this.waiting.push(sequence);
  }

  remove(sequence: Sequence): void {
    this.running.delete(sequence);
    const position = this.waiting.indexOf(sequence);
    if (position >= 0) {
      this.waiting.splice(position, 1);
    }
  }

  /** Begins a step; returns how long it takes. */
  beginStep(now: number): number {
    while (this.running.size < this.model.slots) {
      const next = this.waiting.shift();
      if (next === undefined) {
        break;
      }
      this.start(next);
    }
    this.stepPrefill = this.planPrefill();
    const prefill = [...this.stepPrefill.values()].reduce(
      (sum, tokens) => sum + tokens,
      0,
    );
    return (
      (BASE_STEP_MILLISECONDS +
        SEQUENCE_STEP_MILLISECONDS * this.running.size +
        PREFILL_TOKEN_MILLISECONDS * prefill) *
      this.model.slowness(now)
    );
  }

  /** Ends the step that was begun. */
  endStep(): StepResult {
    const firstTokens: Sequence[] = [];
    const finished: Sequence[] = [];
    for (const sequence of this.running) {
      sequence.prefillLeft -= this.stepPrefill.get(sequence) ?? 0;
      if (sequence.prefillLeft > 0) {
        continue;
      }
      sequence.generated++;
      if (sequence.generated === 1) {
        firstTokens.push(sequence);
      }
      if (sequence.generated >= sequence.outputTokens) {
        finished.push(sequence);
        this.running.delete(sequence);
      }
    }
    return {firstTokens, finished};
  }

  private planPrefill(): Map<Sequence, number> {
    const plan = new Map<Sequence, number>();
    let left = PREFILL_TOKENS_PER_STEP;
    const byPriority = [...this.running].sort(
      (first, second) => first.priority - second.priority,
    );
    for (const sequence of byPriority) {
      const tokens = Math.min(left, sequence.prefillLeft);
      if (tokens > 0) {
        plan.set(sequence, tokens);
        left -= tokens;
      }
    }
    return plan;
  }

  private start(sequence: Sequence): void {
    const hit = sequence.prefixes.findLast(({hash}) => this.cache.has(hash));
    sequence.cachedTokens = hit?.tokens ?? 0;
    // The last prompt token is always worked on: it gives the first output.
    sequence.prefillLeft = Math.max(
      1,
      sequence.promptTokens - sequence.cachedTokens,
    );
    this.running.add(sequence);
    this.remember(sequence);
  }

  private remember(sequence: Sequence): void {
    let covered = 0;
    for (const {hash, tokens} of sequence.prefixes) {
      const own = tokens - covered;
      covered = tokens;
      if (this.cache.delete(hash)) {
        this.cachedTotal -= own;
      } else {
        this.announced.push(hash);
        this.cacheSequence++;
      }
      this.cache.set(hash, own);
      this.cachedTotal += own;
    }
    for (const [hash, tokens] of this.cache) {
      if (this.cachedTotal <= this.model.cacheTokens) {
        return;
      }
      this.cache.delete(hash);
      this.cachedTotal -= tokens;
    }
  }
}

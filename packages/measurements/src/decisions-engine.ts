/** Parameters of a modelled engine; all times are in milliseconds. */
export interface EngineModel {
  readonly endpoint: string;
  readonly dataCenter: string;
  /** Maximum number of sequences in a batch. */
  readonly slots: number;
  /** Capacity of the prefix cache, in tokens. */
  readonly cacheTokens: number;
  /** Factor on the duration of each step; may depend on the time. */
  readonly slowness: (now: number) => number;
}

/** Duration of a step with an empty batch. */
const BASE_STEP_MILLISECONDS = 20;
/** Additional duration for each sequence in the batch. */
const SEQUENCE_STEP_MILLISECONDS = 0.75;
/** Additional duration for each prompt token processed in the step. */
const PREFILL_TOKEN_MILLISECONDS = 0.08;
/** Maximum number of prompt tokens processed in a step, over all sequences. */
const PREFILL_TOKENS_PER_STEP = 512;

/**
 * Returns the engine time of a request in full batches of `slots` sequences, without
 * cache hits.
 */
export function workMilliseconds(
  promptTokens: number,
  outputTokens: number,
  slots: number,
): number {
  const token = BASE_STEP_MILLISECONDS / slots + SEQUENCE_STEP_MILLISECONDS;
  return promptTokens * PREFILL_TOKEN_MILLISECONDS + outputTokens * token;
}

/** A request that an engine processes. */
export interface Sequence {
  readonly requestId: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Nested prefixes of the prompt; `tokens` counts from the start of the prompt. */
  readonly prefixes: readonly {
    readonly hash: string;
    readonly tokens: number;
  }[];
  /** Prompts with a lower value are processed first, as real engines honour priorities. */
  readonly priority: number;
  /** Prompt tokens found in the cache; set when the sequence starts. */
  cachedTokens: number;
  remainingPrefillTokens: number;
  generatedTokens: number;
}

/** Sequences that produced their first token, or finished, in a step. */
export interface StepResult {
  readonly firstTokens: readonly Sequence[];
  readonly finished: readonly Sequence[];
}

/**
 * A model of an engine with continuous batching. Each step generates one token for
 * every running sequence whose prompt has been processed; its duration grows with the
 * number of running sequences and of prompt tokens processed in the step.
 */
export class ModelledEngine {
  private readonly running = new Set<Sequence>();
  private readonly waiting: Sequence[] = [];
  /**
   * Tokens that each prefix adds to the one before it, by hash; least recently used
   * first.
   */
  private readonly cache = new Map<string, number>();
  private cachedTotal = 0;
  private stepPrefill = new Map<Sequence, number>();
  /** Hashes added to the cache since the last report. */
  unreportedHashes: string[] = [];
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

  /** Starts a step and returns its duration in milliseconds. */
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

  /** Ends the current step. */
  endStep(): StepResult {
    const firstTokens: Sequence[] = [];
    const finished: Sequence[] = [];
    for (const sequence of this.running) {
      sequence.remainingPrefillTokens -= this.stepPrefill.get(sequence) ?? 0;
      if (sequence.remainingPrefillTokens > 0) {
        continue;
      }
      sequence.generatedTokens++;
      if (sequence.generatedTokens === 1) {
        firstTokens.push(sequence);
      }
      if (sequence.generatedTokens >= sequence.outputTokens) {
        finished.push(sequence);
        this.running.delete(sequence);
      }
    }
    return {firstTokens, finished};
  }

  private planPrefill(): Map<Sequence, number> {
    const plan = new Map<Sequence, number>();
    let remaining = PREFILL_TOKENS_PER_STEP;
    const byPriority = [...this.running].sort(
      (first, second) => first.priority - second.priority,
    );
    for (const sequence of byPriority) {
      const tokens = Math.min(remaining, sequence.remainingPrefillTokens);
      if (tokens > 0) {
        plan.set(sequence, tokens);
        remaining -= tokens;
      }
    }
    return plan;
  }

  private start(sequence: Sequence): void {
    const hit = sequence.prefixes.findLast(({hash}) => this.cache.has(hash));
    sequence.cachedTokens = hit?.tokens ?? 0;
    // The last prompt token is always processed, because it produces the first output
    // token.
    sequence.remainingPrefillTokens = Math.max(
      1,
      sequence.promptTokens - sequence.cachedTokens,
    );
    this.running.add(sequence);
    this.updateCache(sequence);
  }

  private updateCache(sequence: Sequence): void {
    let covered = 0;
    for (const {hash, tokens} of sequence.prefixes) {
      const own = tokens - covered;
      covered = tokens;
      if (this.cache.delete(hash)) {
        this.cachedTotal -= own;
      } else {
        this.unreportedHashes.push(hash);
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

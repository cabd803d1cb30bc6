import {
  AdmissionVerdict,
  EngineAdmission,
  type AdmissionDecision,
  type AdmissionRequest,
  type DecidedRequest,
  type SentRequest,
} from './engine-admission.js';
import {retryDelay} from './retry-delay.js';
import {SEND_ALL} from './send-all.js';

/** Approximate number of begins in the mean interval between them. */
const MEAN_WINDOW = 16;

interface Begins {
  readonly waiting: Set<SentRequest>;
  meanMilliseconds: number;
  count: number;
  lastAt: number;
}

/**
 * Baseline for measurements: refuses a request if the host's requests of its priority
 * that have not begun, times the mean interval between begins, exceed its objective.
 * Each host may send one request in any case, which is too much in a large fleet.
 */
export class LittlesLaw extends EngineAdmission<AdmissionRequest> {
  private readonly begins = new Map<number, Begins>();

  /** @param fraction Random number from 0 to below 1. */
  constructor(private readonly fraction: () => number) {
    super();
  }

  override offer(request: AdmissionRequest, now: number): AdmissionDecision {
    const {priority, objectiveMilliseconds, deadlineAt} = request;
    const {waiting, meanMilliseconds} = this.beginsOf(priority);
    const expectedMilliseconds = waiting.size * meanMilliseconds;
    if (expectedMilliseconds <= objectiveMilliseconds) {
      return SEND_ALL;
    }
    const load = {
      expectedMilliseconds,
      objectiveMilliseconds,
      sentShare: 0,
      remainingMilliseconds: deadlineAt - now,
    };
    return {
      ...SEND_ALL,
      verdict: AdmissionVerdict.Refuse,
      retryAfterMilliseconds: retryDelay(load, this.fraction()),
    };
  }

  override advance(): readonly DecidedRequest<AdmissionRequest>[] {
    return [];
  }

  override remove(): void {
    // Nothing is queued.
  }

  override sent(request: SentRequest): void {
    this.beginsOf(request.priority).waiting.add(request);
  }

  override began(request: SentRequest, now: number): void {
    const begins = this.beginsOf(request.priority);
    begins.waiting.delete(request);
    if (begins.lastAt > -Infinity) {
      begins.count = Math.min(MEAN_WINDOW, begins.count + 1);
      begins.meanMilliseconds +=
        (now - begins.lastAt - begins.meanMilliseconds) / begins.count;
    }
    begins.lastAt = now;
  }

  override refused(request: SentRequest): void {
    this.ended(request);
  }

  override ended(request: SentRequest): void {
    this.beginsOf(request.priority).waiting.delete(request);
  }

  private beginsOf(priority: number): Begins {
    const begins = this.begins.get(priority) ?? {
      waiting: new Set(),
      meanMilliseconds: 0,
      count: 0,
      lastAt: -Infinity,
    };
    this.begins.set(priority, begins);
    return begins;
  }
}

import type {SentRequest} from './engine-admission.js';

/** How long requests of a priority take to begin, as observed by one host. */
export interface BeginDelay {
  /** Expected time to the first event of the next request, milliseconds. */
  readonly milliseconds: number;
  /**
   * A time that two requests took, or one took twice, milliseconds. One request alone
   * may have met the only busy engine.
   */
  readonly confirmedMilliseconds: number;
  readonly observations: number;
  /** Age of the oldest observation, milliseconds. */
  readonly ageMilliseconds: number;
}

interface Observation {
  readonly milliseconds: number;
  /** Requests of the host that had been sent before and had not begun. */
  readonly ahead: number;
  readonly at: number;
}

/** Observations that the expectation rests on, and how old they may be, in objectives. */
const MAXIMUM_OBSERVATIONS = 16;
const OBSERVED_OBJECTIVES = 1.6;
/** A request that has not begun is an observation from this part of its objective on. */
const WAITING_OBJECTIVE_SHARE = 0.2;
/**
 * Weight of the assumption that requests begin at once, in observed requests. Without
 * it, a single slow request would decide at a host that sends few.
 */
const IDLE_WEIGHT = 1;

/**
 * Learns how long requests of one priority take to begin. The time per request ahead,
 * times the host's requests that have not begun, foresees the delay of a busy host
 * (Little's law); at a host with few requests it is the observed delay.
 */
export class BeginDelays {
  /** Requests that have not begun, with the number that was ahead of each. */
  private readonly waiting = new Map<SentRequest, number>();
  private observed: Observation[] = [];

  /** Records that a request was sent. */
  sent(request: SentRequest): void {
    this.waiting.set(request, this.waiting.size);
  }

  /** Records the first event of a request. */
  began(request: SentRequest, now: number): void {
    this.observe(request, now - request.sentAt, now);
  }

  /** Records that an engine refused a request, which counts as late. */
  refused(request: SentRequest, now: number): void {
    this.observe(request, request.objectiveMilliseconds, now);
  }

  /** Records that a request ended; one that has not begun tells nothing. */
  ended(request: SentRequest): void {
    this.waiting.delete(request);
  }

  /** The delay of the next request, which has an objective in milliseconds. */
  expect(objectiveMilliseconds: number, now: number): BeginDelay {
    const overdue = this.overdue(now);
    const kept = OBSERVED_OBJECTIVES * objectiveMilliseconds;
    const recent = [
      ...this.observed.filter(({at}) => now - at <= kept),
      ...overdue,
    ];
    const sorted = recent
      .map(({milliseconds}) => milliseconds)
      .sort((one, other) => other - one);
    const [longest = 0, second = 0] = sorted;
    // A single request at an engine that has stopped must not outweigh quick ones.
    const limit = Math.max(objectiveMilliseconds, second);
    const total = sorted.reduce(
      (sum, milliseconds) => sum + Math.min(limit, milliseconds),
      0,
    );
    const requests = recent.reduce((sum, {ahead}) => sum + ahead + 1, 0);
    return {
      milliseconds:
        (total / (requests + IDLE_WEIGHT)) * (this.waiting.size + 1),
      confirmedMilliseconds: Math.max(second, longest / 2),
      observations: recent.length,
      ageMilliseconds: now - Math.min(now, ...recent.map(({at}) => at)),
    };
  }

  private observe(
    request: SentRequest,
    milliseconds: number,
    at: number,
  ): void {
    const ahead = this.waiting.get(request);
    if (ahead === undefined) {
      return;
    }
    this.waiting.delete(request);
    this.observed.push({milliseconds, ahead, at});
    if (this.observed.length > MAXIMUM_OBSERVATIONS) {
      this.observed.shift();
    }
  }

  private overdue(now: number): readonly Observation[] {
    const overdue: Observation[] = [];
    for (const [request, ahead] of this.waiting) {
      const milliseconds = now - request.sentAt;
      const {objectiveMilliseconds} = request;
      if (milliseconds >= WAITING_OBJECTIVE_SHARE * objectiveMilliseconds) {
        overdue.push({milliseconds, ahead, at: now});
      }
    }
    return overdue;
  }
}

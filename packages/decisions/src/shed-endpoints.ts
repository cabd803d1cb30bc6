import type {EndpointState, PlacedWork} from './endpoint-state.js';
import type {SheddingPolicy} from './shedding-policy.js';
import {WorkClass, type WorkItem} from './work.js';

/**
 * Number of consecutive successful probes before an endpoint receives work
 * again.
 */
const GOOD_PROBES_TO_RECOVER = 2;

/**
 * Minimum number of placements per interactive request used as a probe. Even if
 * every probe is late, p99 time to first token is not affected.
 */
const PLACEMENTS_PER_INTERACTIVE_PROBE = 500;

/**
 * With little load, an interactive request may be used as a probe after this
 * time anyway, in milliseconds.
 */
const MAXIMUM_PROBE_GAP_MILLISECONDS = 60_000;

interface ShedEndpoint {
  readonly shedAt: number;
  failedProbes: number;
  goodProbes: number;
  isProbing: boolean;
  lastProbeAt: number;
}

/**
 * Tracks the endpoints of one lane that are shed as slow, and when each is
 * probed.
 */
export class ShedEndpoints {
  private readonly shed = new Map<EndpointState, ShedEndpoint>();
  private placementsSinceProbe = 0;

  constructor(private readonly policy: SheddingPolicy) {}

  get size(): number {
    return this.shed.size;
  }

  has(state: EndpointState): boolean {
    return this.shed.has(state);
  }

  add(state: EndpointState, now: number): void {
    this.shed.set(state, {
      shedAt: now,
      failedProbes: 0,
      goodProbes: 0,
      isProbing: false,
      lastProbeAt: now,
    });
  }

  remove(state: EndpointState): void {
    this.shed.delete(state);
  }

  /** Records a placement on a healthy endpoint. */
  countPlacement(): void {
    this.placementsSinceProbe++;
  }

  /**
   * Returns the shed endpoint that this request should probe, if a probe is
   * due.
   */
  dueProbe(item: WorkItem, now: number): EndpointState | undefined {
    for (const [state, entry] of this.shed) {
      if (this.isDue(state, entry, item, now)) {
        entry.isProbing = true;
        entry.lastProbeAt = now;
        this.placementsSinceProbe = 0;
        return state;
      }
    }
    return undefined;
  }

  /**
   * Records the first token or the failure of a probe.
   *
   * @returns True if the endpoint has recovered.
   */
  observeProbe(state: EndpointState, ratio: number): boolean {
    const entry = this.shed.get(state);
    if (entry === undefined) {
      return false;
    }
    entry.isProbing = false;
    if (this.policy.isGoodProbe(ratio)) {
      return this.countGoodProbe(entry);
    }
    entry.goodProbes = 0;
    entry.failedProbes++;
    return false;
  }

  /**
   * Records the end of a request that was in progress when the endpoint was
   * shed. Its token rate does not depend on the prompts beside it, so an
   * endpoint that was shed by mistake recovers soon. Only tokens generated
   * since the endpoint was shed count.
   *
   * @returns True if the endpoint has recovered.
   */
  observeAnswer(
    state: EndpointState,
    ratio: number,
    firstTokenAt: number,
  ): boolean {
    const entry = this.shed.get(state);
    return (
      entry !== undefined &&
      firstTokenAt >= entry.shedAt &&
      this.policy.isGoodProbe(ratio) &&
      this.countGoodProbe(entry)
    );
  }

  /**
   * Records the end of a request that is not conclusive about its endpoint's
   * speed.
   */
  abandonProbe(work: PlacedWork): void {
    const entry = this.shed.get(work.state);
    if (entry !== undefined && work.isProbe) {
      entry.isProbing = false;
    }
  }

  private countGoodProbe(entry: ShedEndpoint): boolean {
    entry.goodProbes++;
    return entry.goodProbes >= GOOD_PROBES_TO_RECOVER;
  }

  private isDue(
    state: EndpointState,
    entry: ShedEndpoint,
    item: WorkItem,
    now: number,
  ): boolean {
    const sinceProbe = now - entry.lastProbeAt;
    const interval = this.policy.probeIntervalMilliseconds(entry.failedProbes);
    if (
      entry.isProbing ||
      state.leaving ||
      state.ownInProgress >= state.usableSlots ||
      sinceProbe < interval
    ) {
      return false;
    }
    return (
      item.workClass === WorkClass.Batch ||
      this.placementsSinceProbe >= PLACEMENTS_PER_INTERACTIVE_PROBE ||
      sinceProbe >= MAXIMUM_PROBE_GAP_MILLISECONDS
    );
  }
}

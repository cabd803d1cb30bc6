import type {EndpointState, PlacedWork} from './endpoint-state.js';
import type {SheddingPolicy} from './shedding-policy.js';
import {WorkClass, type WorkItem} from './work.js';

/** Probes that must go well, one after the other, before work returns. */
const GOOD_PROBES_TO_RECOVER = 2;

/**
 * Interactive work probes at most once in so many placements: even if every
 * probe is late, p99 to first token does not show it.
 */
const PLACEMENTS_PER_INTERACTIVE_PROBE = 500;

/** With little work, an interactive probe may go after this long all the same. */
const LONGEST_WITHOUT_PROBE_MILLISECONDS = 60_000;

interface ShedEndpoint {
  readonly shedAt: number;
  failedProbes: number;
  goodProbes: number;
  isProbing: boolean;
  lastProbeAt: number;
}

/** The endpoints of one lane that are shed as slow, and when each is probed. */
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

  /** A request was placed at a healthy endpoint. */
  countPlacement(): void {
    this.placementsSinceProbe++;
  }

  /** The shed endpoint that this request should probe, if any is due. */
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
   * A probe's first token came, or the probe failed.
   *
   * @returns True where the endpoint has recovered.
   */
  observeProbe(state: EndpointState, ratio: number): boolean {
    const entry = this.shed.get(state);
    if (entry === undefined) {
      return false;
    }
    entry.isProbing = false;
    if (this.policy.isGoodProbe(ratio)) {
      return this.countGood(entry);
    }
    entry.goodProbes = 0;
    entry.failedProbes++;
    return false;
  }

  /**
   * Work that was there when the endpoint was shed has ended. How fast its
   * tokens came does not depend on the prompts beside it, so it soon clears an
   * endpoint that was shed by mistake. Only tokens since it was shed count.
   *
   * @returns True where the endpoint has recovered.
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
      this.countGood(entry)
    );
  }

  /** Work ended without telling anything of its endpoint's speed. */
  abandonProbe(work: PlacedWork): void {
    const entry = this.shed.get(work.state);
    if (entry !== undefined && work.isProbe) {
      entry.isProbing = false;
    }
  }

  private countGood(entry: ShedEndpoint): boolean {
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
      sinceProbe >= LONGEST_WITHOUT_PROBE_MILLISECONDS
    );
  }
}

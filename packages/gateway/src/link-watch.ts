import {LinkDelay, LinkLoad, StandingDelay} from '@wisteriadeal/decisions';
import {HostLink} from '@wisteriadeal/platform';
import type {EventFields, EventLog} from '@wisteriadeal/runtime';

import type {HostTraffic} from './host-traffic.js';

/** A burst of callers shows within a second. */
const SAMPLE_MILLISECONDS = 200;
/** Data queued at a full link arrives within this time after the link was full. */
const QUEUE_DRAIN_MILLISECONDS = 2_000;
/** While the link is full a line comes this often. */
const TELL_MILLISECONDS = 1_000;

/**
 * Watches the host's inbound link, and tells when callers fill it and how long what
 * comes in waits there.
 *
 * - `isFull`: callers use most of the link.
 * - `isCongested`: it is full, or was in the last two seconds.
 * - `isLate`: it is congested, and no connection has come without delay lately.
 * - `isOverloaded`: callers send more than it carries, so that some have to go elsewhere.
 *
 * @example
 * ```ts
 * const link = new LinkWatch(875_000, new ProcessTraffic(), events, now);
 * link.start();
 * const limitMilliseconds = 120 + link.delayMilliseconds;
 * ```
 */
export class LinkWatch extends HostLink {
  private readonly load: LinkLoad;
  private readonly delay = new LinkDelay();
  private readonly standing = new StandingDelay();
  private timer: NodeJS.Timeout | undefined;
  private lastFullAt = -Infinity;
  private fullSince = 0;
  private tellAt = Infinity;
  private onSample: () => void = () => undefined;

  /** @param capacity Of the link, bytes a second; 0 where it is not known. */
  constructor(
    private readonly capacity: number,
    private readonly traffic: HostTraffic,
    private readonly events: EventLog,
    private readonly now: () => number,
  ) {
    super();
    this.load = new LinkLoad(capacity);
  }

  /** Calls the listener, in place of one before it, after each sample. */
  whenSampled(listener: () => void): void {
    this.onSample = listener;
  }

  /** Begins to watch. */
  start(): void {
    this.timer = setInterval(() => {
      this.observe();
    }, SAMPLE_MILLISECONDS);
    this.timer.unref();
  }

  /** Watches no longer. */
  close(): void {
    clearInterval(this.timer);
    this.traffic.close();
  }

  /** Bytes received a second. */
  get bytesPerSecond(): number {
    return this.load.bytesPerSecond;
  }

  /** Bytes sent since the start. */
  get sentBytes(): number {
    return this.traffic.sent.inAll;
  }

  /** Bytes received since the start. */
  get receivedBytes(): number {
    return this.traffic.received.inAll;
  }

  /** Whether what comes in waits at the link: lateness says nothing of others. */
  get isFull(): boolean {
    return this.load.isFull;
  }

  override get isLate(): boolean {
    return this.isCongested && !this.standing.isPrompt(this.now());
  }

  /** Whether callers send more than the link carries, or did so and still wait. */
  get isOverloaded(): boolean {
    const isStanding = this.standing.isStanding(this.now());
    return this.isFull && (this.load.isSaturated || isStanding);
  }

  /** Whether the link is or was recently full, so that answers may be queued at it. */
  override get isCongested(): boolean {
    return this.now() - this.lastFullAt < QUEUE_DRAIN_MILLISECONDS;
  }

  override get delayMilliseconds(): number {
    return this.delay.milliseconds(this.isCongested);
  }

  override answerBytes(milliseconds: number): number {
    return this.isCongested ? this.load.answerBytes(milliseconds) : Infinity;
  }

  override connected(milliseconds: number): void {
    this.standing.arrived(this.now(), milliseconds);
  }

  override arrived(milliseconds: number): void {
    this.delay.arrived(milliseconds);
  }

  /** While connections are prompt, what a peer does not send says nothing of the link. */
  override expired(milliseconds: number): void {
    if (this.isLate) {
      this.delay.expired(milliseconds);
    }
  }

  private observe(): void {
    const {isFull} = this;
    const {fromCallers, inAll} = this.traffic.received;
    this.load.observe(this.now(), {
      callerBytes: fromCallers,
      bytes: inAll,
    });
    if (this.isFull) {
      this.lastFullAt = this.now();
    }
    if (isFull !== this.isFull) {
      this.changed();
    }
    this.tellWhileFull();
    this.onSample();
  }

  private changed(): void {
    this.fullSince = this.now();
    this.tellAt = this.isFull ? this.fullSince + TELL_MILLISECONDS : Infinity;
    this.events.info('link', {isFull: this.isFull, ...this.fields});
  }

  private tellWhileFull(): void {
    const now = this.now();
    if (now < this.tellAt) {
      return;
    }
    const late = (now - this.tellAt) % TELL_MILLISECONDS;
    this.tellAt = now - late + TELL_MILLISECONDS;
    this.events.info('link full', {
      ...this.fields,
      fullForMilliseconds: Math.round(now - this.fullSince),
    });
  }

  private get fields(): EventFields {
    return {
      capacityBytes: Math.round(this.capacity),
      receivedBytes: Math.round(this.bytesPerSecond),
      fromCallersBytes: Math.round(this.load.callerBytesPerSecond),
      delayMilliseconds: Math.round(this.delayMilliseconds),
    };
  }
}

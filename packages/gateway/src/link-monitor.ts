import {LinkDelay, LinkLoad, StandingDelay} from '@wisteriadeal/decisions';
import {HostLink} from '@wisteriadeal/platform';
import type {EventFields, EventLog} from '@wisteriadeal/runtime';

import type {HostTraffic} from './host-traffic.js';

/** Sampling interval; a burst of traffic is detected within a second. */
const SAMPLE_MILLISECONDS = 200;
/** Data queued at a full link arrives within this time after the link was full. */
const QUEUE_DRAIN_MILLISECONDS = 2_000;
/** Interval of log lines while the link is full. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/**
 * Monitors the host's inbound link: whether callers fill it, and how long incoming
 * data queues there.
 *
 * - `isFull`: callers use most of the link.
 * - `isCongested`: the link is full, or was in the last two seconds.
 * - `isLate`: the link is congested, and no recent connect was without delay.
 * - `isOverloaded`: callers send more than the link's capacity, so that some have to
 *   use another host.
 *
 * @example
 * ```ts
 * const link = new LinkMonitor(875_000, new ProcessTraffic(), events, now);
 * link.start();
 * const limitMilliseconds = 120 + link.delayMilliseconds;
 * ```
 */
export class LinkMonitor extends HostLink {
  private readonly load: LinkLoad;
  private readonly delay = new LinkDelay();
  private readonly standingDelay = new StandingDelay();
  private timer: NodeJS.Timeout | undefined;
  private lastFullAt = -Infinity;
  private fullSince = 0;
  private nextLogAt = Infinity;
  private onSample: () => void = () => undefined;

  /** @param capacity Capacity of the link, bytes per second; 0 if unknown. */
  constructor(
    private readonly capacity: number,
    private readonly traffic: HostTraffic,
    private readonly events: EventLog,
    private readonly now: () => number,
  ) {
    super();
    this.load = new LinkLoad(capacity);
  }

  /**
   * Sets the listener that is called after each sample, replacing any earlier
   * one.
   */
  setSampleListener(listener: () => void): void {
    this.onSample = listener;
  }

  /** Starts sampling. */
  start(): void {
    this.timer = setInterval(() => {
      this.observe();
    }, SAMPLE_MILLISECONDS);
    this.timer.unref();
  }

  /** Stops sampling. */
  close(): void {
    clearInterval(this.timer);
    this.traffic.close();
  }

  /** Current rate of received bytes per second. */
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

  /**
   * Whether incoming data queues at the link, so that a late answer shows
   * nothing about its sender.
   */
  get isFull(): boolean {
    return this.load.isFull;
  }

  override get isLate(): boolean {
    return this.isCongested && !this.standingDelay.isUndelayed(this.now());
  }

  /**
   * Whether callers send, or sent and still wait to send, more than the link's
   * capacity.
   */
  get isOverloaded(): boolean {
    const isStanding = this.standingDelay.isStanding(this.now());
    return this.isFull && (this.load.isSaturated || isStanding);
  }

  /**
   * Whether the link is or was recently full, so that answers may be queued at
   * it.
   */
  override get isCongested(): boolean {
    return this.now() - this.lastFullAt < QUEUE_DRAIN_MILLISECONDS;
  }

  override get delayMilliseconds(): number {
    return this.delay.milliseconds(this.isCongested);
  }

  override maximumAnswerBytes(milliseconds: number): number {
    return this.isCongested
      ? this.load.maximumAnswerBytes(milliseconds)
      : Infinity;
  }

  override recordConnection(milliseconds: number): void {
    this.standingDelay.recordArrival(this.now(), milliseconds);
  }

  override recordArrival(milliseconds: number): void {
    this.delay.recordArrival(milliseconds);
  }

  /**
   * Counts as link delay only while connects are late too: while they are prompt,
   * a missing answer shows nothing about the link.
   */
  override recordTimeout(milliseconds: number): void {
    if (this.isLate) {
      this.delay.recordTimeout(milliseconds);
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
      this.logStateChange();
    }
    this.logWhileFull();
    this.onSample();
  }

  private logStateChange(): void {
    this.fullSince = this.now();
    this.nextLogAt = this.isFull
      ? this.fullSince + LOG_INTERVAL_MILLISECONDS
      : Infinity;
    this.events.info('link state changed', {
      isFull: this.isFull,
      ...this.fields,
    });
  }

  private logWhileFull(): void {
    const now = this.now();
    if (now < this.nextLogAt) {
      return;
    }
    const overdue = (now - this.nextLogAt) % LOG_INTERVAL_MILLISECONDS;
    this.nextLogAt = now - overdue + LOG_INTERVAL_MILLISECONDS;
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

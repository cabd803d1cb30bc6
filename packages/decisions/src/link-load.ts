/** Bytes received on a host's link since the host started. */
export interface LinkTraffic {
  /** Bytes received on connections that callers opened. */
  readonly callerBytes: number;
  /** Bytes received on all connections, including those of callers. */
  readonly bytes: number;
}

interface Sample extends LinkTraffic {
  readonly at: number;
}

/** Length of the window over which rates are computed, in milliseconds. */
const WINDOW_MILLISECONDS = 800;
/** Minimum length of the window for a meaningful rate, in milliseconds. */
const MINIMUM_WINDOW_MILLISECONDS = 600;
/** Share of the capacity from which incoming data waits at the link. */
const FULL_SHARE = 0.85;
/** Share of the capacity below which incoming data no longer waits. */
const FREE_SHARE = 0.6;
/**
 * Share of the capacity from which the link is saturated. It is below 1 because
 * headers are not counted. The link stays saturated until its rate falls below
 * `FULL_SHARE`.
 */
const SATURATED_SHARE = 0.92;
/**
 * Minimum share of the capacity that callers have to use for the link to become
 * full. Below it, the load is due to the store's records during startup.
 */
const MINIMUM_CALLER_SHARE = 0.5;
/**
 * Share of the capacity left by callers that one answer may use; the answers of
 * endpoints use the rest.
 */
const ANSWER_SHARE = 0.5;
/**
 * Minimum answer size in bytes; an answer of this size has to fit, however
 * little capacity callers leave.
 */
const MINIMUM_ANSWER_BYTES = 16_384;

/**
 * Detects whether callers fill a host's inbound link. When callers of one
 * organisation are routed to one host, their request bodies can amount to 1.3
 * to 3 times the capacity of its link. Incoming data then waits at the link for
 * over a second, and without this detection the host would attribute the delay
 * to silent endpoints and data centres.
 */
export class LinkLoad {
  private readonly samples: Sample[] = [];
  private isLinkFull = false;
  private wasSaturated = false;

  /**
   * @param capacityBytesPerSecond Capacity of the link in bytes per second; 0
   *     if it is not known.
   */
  constructor(private readonly capacityBytesPerSecond: number) {}

  /**
   * Bytes received per second on all connections; 0 until it has been measured.
   */
  get bytesPerSecond(): number {
    return this.rate(({bytes}) => bytes);
  }

  /** Bytes received per second from callers; 0 until it has been measured. */
  get callerBytesPerSecond(): number {
    return this.rate(({callerBytes}) => callerBytes);
  }

  /**
   * Whether incoming data waits at the link, so that delays are not evidence
   * against a peer.
   */
  get isFull(): boolean {
    return this.isLinkFull;
  }

  /**
   * Returns the largest answer that can cross the link within the given time,
   * beside the load of callers.
   *
   * @param milliseconds Time in which the answer has to arrive.
   * @returns Bytes.
   * @example
   * ```ts
   * const pageBytes = load.maximumAnswerBytes(1_200);
   * ```
   */
  maximumAnswerBytes(milliseconds: number): number {
    const remaining = Math.max(
      0,
      this.capacityBytesPerSecond - this.callerBytesPerSecond,
    );
    return Math.max(
      MINIMUM_ANSWER_BYTES,
      (ANSWER_SHARE * remaining * milliseconds) / 1_000,
    );
  }

  /** Whether callers send at least as much as the link can carry. */
  get isSaturated(): boolean {
    return this.wasSaturated;
  }

  /**
   * Records the received bytes. Must be called several times a second.
   *
   * @param now Monotonic clock, in milliseconds.
   */
  observe(now: number, traffic: LinkTraffic): void {
    this.samples.push({at: now, ...traffic});
    const oldest = now - WINDOW_MILLISECONDS;
    while ((this.samples[1]?.at ?? Infinity) <= oldest) {
      this.samples.shift();
    }
    if (this.capacityBytesPerSecond > 0) {
      this.updateState();
    }
  }

  private updateState(): void {
    const {bytesPerSecond, callerBytesPerSecond} = this;
    const isBusy = bytesPerSecond >= FULL_SHARE * this.capacityBytesPerSecond;
    if (
      isBusy &&
      callerBytesPerSecond >= MINIMUM_CALLER_SHARE * this.capacityBytesPerSecond
    ) {
      this.isLinkFull = true;
    } else if (bytesPerSecond < FREE_SHARE * this.capacityBytesPerSecond) {
      this.isLinkFull = false;
    }
    this.wasSaturated =
      this.isLinkFull &&
      bytesPerSecond >=
        (this.wasSaturated ? FULL_SHARE : SATURATED_SHARE) *
          this.capacityBytesPerSecond;
  }

  private rate(of: (traffic: LinkTraffic) => number): number {
    const [first] = this.samples;
    const last = this.samples.at(-1);
    if (
      first === undefined ||
      last === undefined ||
      last.at - first.at < MINIMUM_WINDOW_MILLISECONDS
    ) {
      return 0;
    }
    return ((of(last) - of(first)) * 1_000) / (last.at - first.at);
  }
}

/** What has come in on a host's link since its start. */
export interface LinkUse {
  /** Bytes on connections that callers opened. */
  readonly callerBytes: number;
  /** Bytes on all connections, callers' among them. */
  readonly bytes: number;
}

interface Sample extends LinkUse {
  readonly at: number;
}

/** Rates are taken over so long. */
const WINDOW_MILLISECONDS = 800;
/** A rate over less than this says nothing. */
const SHORTEST_WINDOW_MILLISECONDS = 600;
/** From this part of its capacity on, what comes in waits at the link... */
const FULL_PART = 0.85;
/** ... and below this it doesn't any more. */
const FREE_PART = 0.6;
/** A link that carries all it can, until it is not full any more: headers aren't counted. */
const SATURATED_PART = 0.92;
/** Callers fill the link, rather than the store's records at a start. */
const CALLERS_PART = 0.5;
/** Of what callers leave, for one answer; endpoints' answers take the rest. */
const ANSWER_PART = 0.5;
/** An answer of this size has to get through, whatever callers leave. */
const SMALLEST_ANSWER_BYTES = 16_384;
/**
 * Whether callers fill a host's inbound link. Load: callers of one organisation are led
 * to one host, and their bodies are 1.3 to 3 times what its link takes. Harm of not
 * knowing: whatever comes in waits over a second at the link, and the host takes that
 * for the silence of endpoints and whole data centres.
 */
export class LinkLoad {
  private readonly samples: Sample[] = [];
  private isLinkFull = false;
  private wasSaturated = false;

  /** @param capacity Of the link, bytes a second; 0 where it is not known. */
  constructor(private readonly capacity: number) {}

  /** Bytes received a second on all connections; 0 before it is known. */
  get bytesPerSecond(): number {
    return this.perSecond(({bytes}) => bytes);
  }

  /** Bytes received a second from callers; 0 before it is known. */
  get callerBytesPerSecond(): number {
    return this.perSecond(({callerBytes}) => callerBytes);
  }

  /** Whether what comes in waits at the link: lateness says nothing of others. */
  get isFull(): boolean {
    return this.isLinkFull;
  }

  /**
   * Largest answer that crosses the link within a time, beside what callers send.
   *
   * @returns Bytes.
   * @example
   * ```ts
   * const pageBytes = load.answerBytes(1_200);
   * ```
   */
  answerBytes(milliseconds: number): number {
    const left = Math.max(0, this.capacity - this.callerBytesPerSecond);
    return Math.max(
      SMALLEST_ANSWER_BYTES,
      (ANSWER_PART * left * milliseconds) / 1_000,
    );
  }

  /** Whether callers send as much as the link carries, or more. */
  get isSaturated(): boolean {
    return this.wasSaturated;
  }

  /**
   * Takes what has come in; to be called some times a second.
   *
   * @param now On the monotonic clock, milliseconds.
   */
  observe(now: number, use: LinkUse): void {
    this.samples.push({at: now, ...use});
    const oldest = now - WINDOW_MILLISECONDS;
    while ((this.samples[1]?.at ?? Infinity) <= oldest) {
      this.samples.shift();
    }
    if (this.capacity > 0) {
      this.judge();
    }
  }

  private judge(): void {
    const {bytesPerSecond, callerBytesPerSecond} = this;
    const isPressed = bytesPerSecond >= FULL_PART * this.capacity;
    if (isPressed && callerBytesPerSecond >= CALLERS_PART * this.capacity) {
      this.isLinkFull = true;
    } else if (bytesPerSecond < FREE_PART * this.capacity) {
      this.isLinkFull = false;
    }
    this.wasSaturated =
      this.isLinkFull &&
      bytesPerSecond >=
        (this.wasSaturated ? FULL_PART : SATURATED_PART) * this.capacity;
  }

  private perSecond(of: (use: LinkUse) => number): number {
    const [first] = this.samples;
    const last = this.samples.at(-1);
    if (
      first === undefined ||
      last === undefined ||
      last.at - first.at < SHORTEST_WINDOW_MILLISECONDS
    ) {
      return 0;
    }
    return ((of(last) - of(first)) * 1_000) / (last.at - first.at);
  }
}

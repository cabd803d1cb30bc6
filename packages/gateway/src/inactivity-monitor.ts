import {NetworkTimeout, type Clock} from '@wisteriadeal/platform';

/** Inactivity timeouts of an exchange, milliseconds. */
export interface InactivityLimits {
  /** Time without an answer after which the endpoint is suspected. */
  readonly suspectMilliseconds: number;
  /**
   * Time without an answer after which the request fails over; undefined if it
   * may not.
   */
  readonly failoverMilliseconds: number | undefined;
  /** Maximum time between events of a stream. */
  readonly betweenEventsMilliseconds: number;
  /**
   * Whether a timeout between events makes the stream fail over, or only makes
   * its endpoint suspect.
   */
  readonly canFailOver: boolean;
}

/** Callbacks for inactivity timeouts. */
export interface InactivityHandlers {
  /** The endpoint should get no new requests until it responds. */
  onSuspect(): void;
  /** The exchange has timed out. */
  onTimeout(): void;
  /** The endpoint has sent something. */
  onData(): void;
}

/** Detects an exchange that has been inactive for too long. */
export class InactivityMonitor {
  private readonly startedAt: number;
  private readonly timeouts = new Set<NetworkTimeout>();
  private firstByteMilliseconds: number | undefined;
  /** Restarted by each event. */
  private eventTimeout: NetworkTimeout | undefined;
  private isClosed = false;

  constructor(
    private readonly limits: InactivityLimits,
    private readonly clock: Clock,
    private readonly handlers: InactivityHandlers,
  ) {
    this.startedAt = clock.monotonicMilliseconds();
    this.startTimeout(limits.suspectMilliseconds, () => {
      handlers.onSuspect();
    });
    if (limits.failoverMilliseconds !== undefined) {
      this.startTimeout(limits.failoverMilliseconds, () => {
        handlers.onTimeout();
      });
    }
  }

  /** Time until the answer began, milliseconds; undefined if it has not. */
  get timeToFirstByte(): number | undefined {
    return this.firstByteMilliseconds;
  }

  /** Time since the request was sent, milliseconds. */
  get elapsedMilliseconds(): number {
    return this.clock.monotonicMilliseconds() - this.startedAt;
  }

  /**
   * Records that the answer has begun, and stops all timeouts until the next
   * call.
   */
  headReceived(): void {
    this.handlers.onData();
    this.stopUntilBody();
  }

  /**
   * Starts the timeout for the first event when reading of the answer begins.
   */
  bodyStarted(): void {
    const {failoverMilliseconds = 0, betweenEventsMilliseconds} = this.limits;
    this.startEventTimeout(
      Math.max(failoverMilliseconds, betweenEventsMilliseconds),
    );
  }

  /** Restarts the timeout between events, because an event arrived. */
  eventReceived(): void {
    this.handlers.onData();
    if (this.eventTimeout === undefined) {
      this.eventTimeout = this.startEventTimeout(
        this.limits.betweenEventsMilliseconds,
      );
    } else {
      this.eventTimeout.refresh();
    }
  }

  /**
   * Restarts the timeout that has expired, because no other endpoint has taken the
   * request; the endpoint is suspected.
   */
  restart(): void {
    if (this.isClosed || !this.limits.canFailOver) {
      return;
    }
    this.handlers.onSuspect();
    if (this.firstByteMilliseconds !== undefined) {
      this.eventTimeout = this.startEventTimeout(
        this.limits.betweenEventsMilliseconds,
      );
    } else if (this.limits.failoverMilliseconds !== undefined) {
      this.startTimeout(this.limits.failoverMilliseconds, () => {
        this.handlers.onTimeout();
      });
    }
  }

  /** Times out now, if the exchange may fail over. */
  expire(): void {
    if (this.limits.canFailOver) {
      this.handlers.onTimeout();
    }
  }

  /** Stops all timeouts; none is started any more. */
  close(): void {
    this.isClosed = true;
    this.stop();
  }

  private stop(): void {
    for (const timeout of this.timeouts) {
      timeout.close();
    }
    this.timeouts.clear();
    this.eventTimeout = undefined;
  }

  private stopUntilBody(): void {
    this.firstByteMilliseconds ??= this.elapsedMilliseconds;
    this.stop();
  }

  private startEventTimeout(milliseconds: number): NetworkTimeout {
    this.stopUntilBody();
    return this.startTimeout(milliseconds, () => {
      if (this.limits.canFailOver) {
        this.handlers.onTimeout();
      } else {
        this.handlers.onSuspect();
      }
    });
  }

  private startTimeout(
    milliseconds: number,
    action: () => void,
  ): NetworkTimeout {
    const timeout = new NetworkTimeout(milliseconds, action);
    this.timeouts.add(timeout);
    return timeout;
  }
}

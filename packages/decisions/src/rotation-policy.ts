/** What a host knows of its own load and of the balancer. */
export interface RotationInput {
  /** More comes in than the host carries: what it serves would be late or lost. */
  readonly isOverloaded: boolean;
  /** Connections that callers have opened since the start. */
  readonly connections: number;
}

/** Where a host stands in the balancer's rotation. */
export enum RotationState {
  /** Takes new connections. */
  Serving = 'serving',
  /** Says that it is not ready; the balancer may not know yet. */
  Withdrawing = 'withdrawing',
  /** Gets no new connections, and ends those that it has. */
  Shedding = 'shedding',
  /** Carries what is left, and is about to take new connections again. */
  Returning = 'returning',
  /** Overloaded, and serves: nobody else takes its callers. */
  Needed = 'needed',
}

/** Decides when a host leaves the balancer's rotation, and when its callers have to. */
export abstract class RotationPolicy {
  /** Where it stands now. */
  abstract get state(): RotationState;

  /** Whether the balancer may send new connections. */
  abstract get takesConnections(): boolean;

  /** Whether answers that begin now end their connections. */
  abstract get endsConnections(): boolean;

  /**
   * Somebody has asked whether the host is ready.
   *
   * @param now Monotonic clock, milliseconds.
   * @param isReady What the answer was.
   */
  abstract probed(now: number, isReady: boolean): void;

  /**
   * Takes note of the load; to be called some times a second.
   *
   * @param now Monotonic clock, milliseconds.
   */
  abstract observe(now: number, input: RotationInput): void;
}

/** Stays in the rotation, whatever comes: the baseline. */
export class AlwaysServing extends RotationPolicy {
  override readonly state = RotationState.Serving;
  override readonly takesConnections = true;
  override readonly endsConnections = false;

  override probed(): void {
    // It never says anything else.
  }

  override observe(): void {
    // Its load is no matter.
  }
}

/** The balancer takes a host out after so many answers in a row that it is not ready. */
const REFUSED_PROBES = 2;
/** The balancer's probes are at least so far apart; others' between them don't count. */
const PROBE_MILLISECONDS = 800;
/** Probes that wait behind an overload are missed; so long after it nobody comes. */
const UNSEEN_PROBES_MILLISECONDS = 3_000;
/** New connections are counted over so long. */
const SPAN_MILLISECONDS = 1_500;
/** What comes before the last of so many spans was on its way to a host that is out. */
const LATE_SPANS = 3;
/** Observations this far apart tell of a process that was held up. */
const HELD_UP_MILLISECONDS = 1_000;
/** A host out of rotation that gets this part of its usual connections is needed. */
const NEEDED_PART = 0.5;
/** A host that is out gets some connections nevertheless. */
const STRAY_CONNECTIONS = 4;
/** An overload that goes on for so long without its callers is no reason to stay away. */
const LONGEST_ABSENCE_MILLISECONDS = 8_000;
/** The overload has been over for so long before the host returns. */
const SHORTEST_CALM_MILLISECONDS = 2_000;
/** The longest calm that is asked for, however often the host was overloaded. */
const LONGEST_CALM_MILLISECONDS = 4_000;
/** An overload this soon after a return asks for a calm twice as long. */
const RELAPSE_MILLISECONDS = 8_000;
/** A host that is needed does not withdraw again before; longer each time. */
const SHORTEST_NEEDED_MILLISECONDS = 10_000;
const LONGEST_NEEDED_MILLISECONDS = 20_000;

/**
 * Leaves the rotation while the host is overloaded. Load: all callers of one
 * organisation come to one host and fill its link. Harm of staying: a refused caller
 * comes back on the connection that it has, so that its requests and retries keep the
 * host overloaded while others have room.
 *
 * Connections are ended only once the balancer sends their callers elsewhere. Where
 * connections go on coming, no other host takes them, and the host serves what it can.
 *
 * @example
 * ```ts
 * const rotation = new WithdrawWhileOverloaded();
 * rotation.observe(now, {isOverloaded: link.isOverloaded, connections});
 * response.statusCode = rotation.takesConnections ? 200 : 503;
 * ```
 */
export class WithdrawWhileOverloaded extends RotationPolicy {
  private current = RotationState.Serving;
  private since = -Infinity;
  /** When the host last said that it is not ready. */
  private absentSince = -Infinity;
  private observedAt = -Infinity;
  private refusedProbes = 0;
  private refusedAt = -Infinity;
  private readonly arrivals = new ConnectionSpans();
  private usualConnections = 0;
  private calmSince: number | undefined;
  private calmMilliseconds = SHORTEST_CALM_MILLISECONDS;
  private neededMilliseconds = SHORTEST_NEEDED_MILLISECONDS;

  override get state(): RotationState {
    return this.current;
  }

  override get takesConnections(): boolean {
    return (
      this.current === RotationState.Serving ||
      this.current === RotationState.Needed
    );
  }

  override get endsConnections(): boolean {
    return this.current === RotationState.Shedding;
  }

  override probed(now: number, isReady: boolean): void {
    if (isReady) {
      this.refusedProbes = 0;
      this.refusedAt = -Infinity;
    } else if (now - this.refusedAt >= PROBE_MILLISECONDS) {
      this.refusedProbes++;
      this.refusedAt = now;
    }
  }

  override observe(now: number, input: RotationInput): void {
    if (now - this.observedAt > HELD_UP_MILLISECONDS) {
      this.arrivals.restart(now, input.connections);
    }
    this.observedAt = now;
    this.arrivals.observe(now, input.connections);
    this.noteCalm(now, input.isOverloaded);
    const next = this.next(now, input.isOverloaded);
    if (next !== this.current) {
      this.enter(next, now, input);
    }
  }

  private noteCalm(now: number, isOverloaded: boolean): void {
    if (isOverloaded) {
      this.calmSince = undefined;
    } else {
      this.calmSince ??= now;
    }
  }

  private next(now: number, isOverloaded: boolean): RotationState {
    switch (this.current) {
      case RotationState.Serving:
        return isOverloaded ? RotationState.Withdrawing : this.current;
      case RotationState.Withdrawing:
        if (!isOverloaded) {
          return RotationState.Returning;
        }
        return this.isOut(now) ? RotationState.Shedding : this.current;
      case RotationState.Shedding:
        if (!isOverloaded) {
          return RotationState.Returning;
        }
        return this.isNeeded(now) ? RotationState.Needed : this.current;
      case RotationState.Returning:
        if (isOverloaded) {
          return this.isNeeded(now)
            ? RotationState.Needed
            : RotationState.Withdrawing;
        }
        return this.isCalm(now) ? RotationState.Serving : this.current;
      case RotationState.Needed:
        return now - this.since >= this.neededMilliseconds
          ? RotationState.Serving
          : this.current;
    }
  }

  private enter(
    next: RotationState,
    now: number,
    {connections}: RotationInput,
  ): void {
    if (this.current === RotationState.Serving) {
      this.leave(now);
    } else if (this.current === RotationState.Needed) {
      this.neededMilliseconds = Math.min(
        LONGEST_NEEDED_MILLISECONDS,
        2 * this.neededMilliseconds,
      );
    } else if (this.current === RotationState.Returning) {
      this.neededMilliseconds = SHORTEST_NEEDED_MILLISECONDS;
    }
    this.arrivals.restart(now, connections);
    this.current = next;
    this.since = now;
  }

  /** The usual connections and the calm to ask for, of a host that withdraws. */
  private leave(now: number): void {
    this.absentSince = now;
    this.usualConnections = this.arrivals.lastSpan;
    this.refusedProbes = 0;
    this.refusedAt = -Infinity;
    const isRelapse = now - this.since < RELAPSE_MILLISECONDS;
    this.calmMilliseconds = isRelapse
      ? Math.min(LONGEST_CALM_MILLISECONDS, 2 * this.calmMilliseconds)
      : SHORTEST_CALM_MILLISECONDS;
  }

  /** Whether the balancer must have taken the host out. */
  private isOut(now: number): boolean {
    return (
      this.refusedProbes >= REFUSED_PROBES ||
      now - this.since >= UNSEEN_PROBES_MILLISECONDS
    );
  }

  /** Whether connections go on coming, so that no other host takes them. */
  private isNeeded(now: number): boolean {
    const {lastSpan, spans} = this.arrivals;
    if (now - this.absentSince >= LONGEST_ABSENCE_MILLISECONDS) {
      return true;
    }
    return (
      spans >= LATE_SPANS &&
      lastSpan > STRAY_CONNECTIONS &&
      lastSpan >= NEEDED_PART * this.usualConnections
    );
  }

  private isCalm(now: number): boolean {
    return (
      this.calmSince !== undefined &&
      now - this.calmSince >= this.calmMilliseconds
    );
  }
}

/** Counts new connections in spans of equal length. */
class ConnectionSpans {
  private startedAt = -Infinity;
  private startedWith = 0;
  private ended = 0;
  private last = 0;

  /** Connections of the last whole span. */
  get lastSpan(): number {
    return this.last;
  }

  /** Whole spans since the last restart. */
  get spans(): number {
    return this.ended;
  }

  restart(now: number, connections: number): void {
    this.startedAt = now;
    this.startedWith = connections;
    this.ended = 0;
  }

  observe(now: number, connections: number): void {
    if (now - this.startedAt >= SPAN_MILLISECONDS) {
      this.last = connections - this.startedWith;
      this.startedAt = now;
      this.startedWith = connections;
      this.ended++;
    }
  }
}

import type {Clock} from '@wisteriadeal/platform';

/** How long silence is borne, milliseconds. */
export interface SilenceLimits {
  /** Before the answer begins, until its endpoint is suspected. */
  readonly suspectMilliseconds: number;
  /** Before the answer begins, until it is moved; undefined where it stays. */
  readonly firstMilliseconds: number | undefined;
  /** Between events of a stream. */
  readonly nextMilliseconds: number;
  /** Whether silence between events moves the stream, or only raises suspicion. */
  readonly mayMove: boolean;
}

/** What is done about silence. */
export interface SilenceActions {
  /** The endpoint should get nothing new until it speaks. */
  onSuspicion(): void;
  /** The exchange is given up. */
  onSilence(): void;
}

/** Tells when an exchange says nothing for too long. */
export class SilenceWatch {
  private readonly startedAt: number;
  private readonly timers = new Set<NodeJS.Timeout>();
  private firstAfter: number | undefined;
  /** Begins anew with each event. */
  private nextTimer: NodeJS.Timeout | undefined;
  /** Counts up with every sign of life: what was due before it is void. */
  private period = 0;

  constructor(
    private readonly limits: SilenceLimits,
    private readonly clock: Clock,
    private readonly actions: SilenceActions,
  ) {
    this.startedAt = clock.monotonicMilliseconds();
    this.arm(limits.suspectMilliseconds, () => {
      actions.onSuspicion();
    });
    if (limits.firstMilliseconds !== undefined) {
      this.arm(limits.firstMilliseconds, () => {
        actions.onSilence();
      });
    }
  }

  /** How long the answer took to begin; undefined where it did not, milliseconds. */
  get firstMilliseconds(): number | undefined {
    return this.firstAfter;
  }

  /** Since the request was sent, milliseconds. */
  get elapsedMilliseconds(): number {
    return this.clock.monotonicMilliseconds() - this.startedAt;
  }

  /** The endpoint has answered; what follows until the next call is not its silence. */
  answered(): void {
    this.firstAfter ??= this.elapsedMilliseconds;
    this.close();
  }

  /** The answer is read from now on, and no event of it has come. */
  reading(): void {
    const {firstMilliseconds = 0, nextMilliseconds} = this.limits;
    this.expectWithin(Math.max(firstMilliseconds, nextMilliseconds));
  }

  /** An event came: the silence begins anew. */
  heard(): void {
    if (this.nextTimer === undefined) {
      this.nextTimer = this.expectWithin(this.limits.nextMilliseconds);
    } else {
      this.period++;
      this.nextTimer.refresh();
    }
  }

  /** Watches no longer. */
  close(): void {
    this.period++;
    for (const timer of this.timers) {
      clearTimeout(timer);
    }
    this.timers.clear();
    this.nextTimer = undefined;
  }

  private expectWithin(milliseconds: number): NodeJS.Timeout {
    this.answered();
    return this.arm(milliseconds, () => {
      if (this.limits.mayMove) {
        this.actions.onSilence();
      } else {
        this.actions.onSuspicion();
      }
    });
  }

  /**
   * A process that stood still finds all its timers due, before it reads what came
   * meanwhile: without the turn in between, it would take every endpoint for silent.
   */
  private arm(milliseconds: number, action: () => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      const {period} = this;
      setImmediate(() => {
        if (this.period === period) {
          action();
        }
      });
    }, milliseconds);
    this.timers.add(timer);
    return timer;
  }
}

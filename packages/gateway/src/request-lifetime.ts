import type {Clock} from '@wisteriadeal/platform';

import type {RequestContext} from './request-context.js';

/** How long a request may be worked on, and whether it still may. */
export class RequestLifetime {
  private hasPassed = false;
  private readonly wait = new AbortController();

  constructor(
    private readonly context: RequestContext,
    private readonly clock: Clock,
  ) {}

  /** Whether the time limit has passed, or the run was cut. */
  get hasTimedOut(): boolean {
    return this.hasPassed;
  }

  /**
   * Whether the caller has left or the deadline has passed, so that no endpoint
   * is at fault.
   */
  get isAbandoned(): boolean {
    return this.hasPassed || this.context.caller.disconnectSignal.aborted;
  }

  /** Aborted when nothing should be awaited any more. */
  get waitSignal(): AbortSignal {
    return this.wait.signal;
  }

  /** Time left until the deadline, milliseconds; may be negative. */
  remaining(): number {
    return this.context.deadlineAt - this.now();
  }

  /** The monotonic clock, milliseconds. */
  now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** Records that the time limit has passed. */
  timeOut(): void {
    this.hasPassed = true;
  }

  /** Waits, at most until nothing should be awaited any more. */
  sleep(milliseconds: number): Promise<void> {
    return this.clock.sleep(milliseconds, this.waitSignal);
  }

  /** Ends all waits, because the caller has left or the run is cut. */
  abortWaits(): void {
    this.wait.abort();
  }
}

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {LinkDelay} from '../link-delay.js';

const STEP_MILLISECONDS = 10;
/** Interval between calls. */
const CALL_INTERVAL_MILLISECONDS = 50;
const MAXIMUM_DELAY_MILLISECONDS = 2_000;
/** Time after which a full link is detected. */
const DETECTION_MILLISECONDS = 800;

interface OpenCall {
  readonly arrivesAt: number;
  readonly expiresAt: number;
  readonly startedAt: number;
}

/**
 * Simulates calls over a link on which incoming data waits for a given time.
 */
class LinkReplay {
  readonly delay = new LinkDelay();
  private now = 0;
  private congestedFrom = Infinity;
  private calls: OpenCall[] = [];
  private timedOut = 0;

  constructor(private readonly idleLimit: number) {}

  /**
   * Runs for the given time, with a wait that depends on the time since the
   * start of the run.
   */
  run(milliseconds: number, waitAt: (elapsed: number) => number): this {
    this.timedOut = 0;
    for (
      let elapsed = 0;
      elapsed < milliseconds;
      elapsed += STEP_MILLISECONDS
    ) {
      this.now += STEP_MILLISECONDS;
      this.trackCongestion(waitAt(elapsed));
      if (elapsed % CALL_INTERVAL_MILLISECONDS === 0) {
        this.call(waitAt(elapsed));
      }
      this.completeCalls();
    }
    return this;
  }

  /** Calls that timed out during the last run. */
  get timedOutCalls(): number {
    return this.timedOut;
  }

  get milliseconds(): number {
    return this.delay.milliseconds(this.isCongested);
  }

  private get isCongested(): boolean {
    return this.now >= this.congestedFrom + DETECTION_MILLISECONDS;
  }

  private trackCongestion(wait: number): void {
    if (wait === 0) {
      this.congestedFrom = Infinity;
    } else {
      this.congestedFrom = Math.min(this.congestedFrom, this.now);
    }
  }

  private call(wait: number): void {
    const startedAt = this.now;
    const arrivesAt = startedAt + wait + 1;
    const expiresAt = startedAt + this.idleLimit + this.milliseconds;
    this.calls.push({startedAt, arrivesAt, expiresAt});
  }

  private completeCalls(): void {
    this.calls = this.calls.filter(call => {
      const {startedAt, arrivesAt, expiresAt} = call;
      if (arrivesAt <= Math.min(this.now, expiresAt)) {
        this.delay.recordArrival(arrivesAt - startedAt);
        return false;
      }
      if (expiresAt <= this.now) {
        this.delay.recordTimeout(expiresAt - startedAt);
        this.timedOut++;
        return false;
      }
      return true;
    });
  }
}

/**
 * The wait rises for a second and then drops, like that of callers arriving in
 * bursts.
 */
function sawtooth(lowest: number, highest: number): (at: number) => number {
  return at => lowest + ((highest - lowest) * (at % 1_000)) / 1_000;
}

const idleLimits = fc.constantFrom(120, 500, 1_200);

describe('calls over a full link', () => {
  it('succeed again after a few timeouts', () => {
    // Guards against a host that permanently attributes its own full link to
    // silent peers.
    fc.assert(
      fc.property(
        idleLimits,
        fc.integer({min: 1, max: 1_900}),
        (idleLimit, wait) => {
          const replay = new LinkReplay(idleLimit).run(1_000, () => 0);
          replay.run(6_000, () => wait);
          expect(replay.run(10_000, () => wait).timedOutCalls).toBe(0);
        },
      ),
    );
  });

  it('mostly succeed while the wait changes', () => {
    fc.assert(
      fc.property(
        idleLimits,
        fc.integer({min: 1, max: 400}),
        fc.integer({min: 500, max: 1_500}),
        (idleLimit, lowest, highest) => {
          const wait = sawtooth(lowest, highest);
          const replay = new LinkReplay(idleLimit).run(6_000, wait);
          const calls = 10_000 / CALL_INTERVAL_MILLISECONDS;
          const {timedOutCalls} = replay.run(10_000, wait);
          expect(timedOutCalls).toBeLessThan(0.05 * calls);
        },
      ),
    );
  });

  it('have no additional delay as soon as the link is idle', () => {
    const replay = new LinkReplay(120).run(8_000, () => 900);
    expect(replay.milliseconds).toBeGreaterThanOrEqual(700);
    expect(replay.run(STEP_MILLISECONDS, () => 0).milliseconds).toBe(0);
  });

  it('have limits near the measured wait', () => {
    // Guards against calls that wait far too long for silent peers.
    const replay = new LinkReplay(120).run(15_000, () => 600);
    expect(replay.milliseconds).toBeLessThan(700);
    replay.run(2_000, () => 0);
    expect(replay.run(10_000, () => 200).milliseconds).toBeLessThan(300);
  });
});

describe('LinkDelay', () => {
  const outcomes = fc.array(
    fc.record({
      milliseconds: fc.double({min: 0, max: 10_000, noNaN: true}),
      hasArrived: fc.boolean(),
    }),
  );

  it('is zero on an idle link, and never exceeds the maximum', () => {
    fc.assert(
      fc.property(outcomes, list => {
        const delay = new LinkDelay();
        for (const {hasArrived, milliseconds} of list) {
          if (hasArrived) {
            delay.recordArrival(milliseconds);
          } else {
            delay.recordTimeout(milliseconds);
          }
          expect(delay.milliseconds(false)).toBe(0);
          expect(delay.milliseconds(true)).toBeGreaterThanOrEqual(0);
          expect(delay.milliseconds(true)).toBeLessThanOrEqual(
            MAXIMUM_DELAY_MILLISECONDS,
          );
        }
      }),
    );
  });

  it('counts simultaneous timeouts as one', () => {
    // Guards against the maximum wait after a single burst of calls.
    const one = new LinkDelay();
    const many = new LinkDelay();
    one.recordTimeout(120);
    for (let call = 0; call < 50; call++) {
      many.recordTimeout(120);
    }
    expect(many.milliseconds(true)).toBeLessThanOrEqual(240);
    expect(one.milliseconds(true)).toBe(240);
  });

  it('reduces the delay after a timeout when data arrives again', () => {
    // Guards against long waits because of one silent peer while others answer.
    const delay = new LinkDelay();
    for (let call = 0; call < 40; call++) {
      delay.recordArrival(20);
    }
    delay.recordTimeout(500);
    expect(delay.milliseconds(true)).toBe(1_000);
    for (let call = 0; call < 20; call++) {
      delay.recordArrival(20);
    }
    expect(delay.milliseconds(true)).toBeLessThan(100);
  });
});

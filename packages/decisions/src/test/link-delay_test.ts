import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {LinkDelay} from '../link-delay.js';

const STEP_MILLISECONDS = 10;
/** A call is made so often. */
const CALL_MILLISECONDS = 50;
const LONGEST_MILLISECONDS = 2_000;
/** The link is found to be full so long after it has become full. */
const DETECTION_MILLISECONDS = 800;

interface OpenCall {
  readonly comesAt: number;
  readonly expiresAt: number;
  readonly startedAt: number;
}

/** Calls over a link where what comes in waits for a time that a test gives. */
class LinkReplay {
  readonly delay = new LinkDelay();
  private now = 0;
  private congestedFrom = Infinity;
  private calls: OpenCall[] = [];
  private expired = 0;

  constructor(private readonly idleLimit: number) {}

  /** Plays so long, with a wait that depends on the time since the beginning. */
  play(milliseconds: number, waitAt: (elapsed: number) => number): this {
    this.expired = 0;
    for (
      let elapsed = 0;
      elapsed < milliseconds;
      elapsed += STEP_MILLISECONDS
    ) {
      this.now += STEP_MILLISECONDS;
      this.noteWait(waitAt(elapsed));
      if (elapsed % CALL_MILLISECONDS === 0) {
        this.call(waitAt(elapsed));
      }
      this.endCalls();
    }
    return this;
  }

  /** Calls that expired in the last play. */
  get expiredCalls(): number {
    return this.expired;
  }

  get milliseconds(): number {
    return this.delay.milliseconds(this.isCongested);
  }

  private get isCongested(): boolean {
    return this.now >= this.congestedFrom + DETECTION_MILLISECONDS;
  }

  private noteWait(wait: number): void {
    if (wait === 0) {
      this.congestedFrom = Infinity;
    } else {
      this.congestedFrom = Math.min(this.congestedFrom, this.now);
    }
  }

  private call(wait: number): void {
    const startedAt = this.now;
    const comesAt = startedAt + wait + 1;
    const expiresAt = startedAt + this.idleLimit + this.milliseconds;
    this.calls.push({startedAt, comesAt, expiresAt});
  }

  private endCalls(): void {
    this.calls = this.calls.filter(call => {
      const {startedAt, comesAt, expiresAt} = call;
      if (comesAt <= Math.min(this.now, expiresAt)) {
        this.delay.arrived(comesAt - startedAt);
        return false;
      }
      if (expiresAt <= this.now) {
        this.delay.expired(expiresAt - startedAt);
        this.expired++;
        return false;
      }
      return true;
    });
  }
}

/** The wait rises for a second, then falls at once, as callers come in bursts. */
function sawtooth(lowest: number, highest: number): (at: number) => number {
  return at => lowest + ((highest - lowest) * (at % 1_000)) / 1_000;
}

const idleLimits = fc.constantFrom(120, 500, 1_200);

describe('calls of a host over its full link', () => {
  it('come in time again after a few that expired', () => {
    // Guards against a host that takes its own full link for silent peers for good.
    fc.assert(
      fc.property(
        idleLimits,
        fc.integer({min: 1, max: 1_900}),
        (idleLimit, wait) => {
          const replay = new LinkReplay(idleLimit).play(1_000, () => 0);
          replay.play(6_000, () => wait);
          expect(replay.play(10_000, () => wait).expiredCalls).toBe(0);
        },
      ),
    );
  });

  it('come in time for the most part while the wait changes', () => {
    fc.assert(
      fc.property(
        idleLimits,
        fc.integer({min: 1, max: 400}),
        fc.integer({min: 500, max: 1_500}),
        (idleLimit, lowest, highest) => {
          const wait = sawtooth(lowest, highest);
          const replay = new LinkReplay(idleLimit).play(6_000, wait);
          const calls = 10_000 / CALL_MILLISECONDS;
          const {expiredCalls} = replay.play(10_000, wait);
          expect(expiredCalls).toBeLessThan(0.05 * calls);
        },
      ),
    );
  });

  it('have their idle limit as soon as the link is free', () => {
    const replay = new LinkReplay(120).play(8_000, () => 900);
    expect(replay.milliseconds).toBeGreaterThanOrEqual(700);
    expect(replay.play(STEP_MILLISECONDS, () => 0).milliseconds).toBe(0);
  });

  it('have limits near the wait once it is known', () => {
    // Guards against calls that wait far too long for peers that are silent.
    const replay = new LinkReplay(120).play(15_000, () => 600);
    expect(replay.milliseconds).toBeLessThan(700);
    replay.play(2_000, () => 0);
    expect(replay.play(10_000, () => 200).milliseconds).toBeLessThan(300);
  });
});

describe('LinkDelay', () => {
  const ends = fc.array(
    fc.record({
      milliseconds: fc.double({min: 0, max: 10_000, noNaN: true}),
      hasCome: fc.boolean(),
    }),
  );

  it('is zero on a free link, and never above its ceiling', () => {
    fc.assert(
      fc.property(ends, list => {
        const delay = new LinkDelay();
        for (const {hasCome, milliseconds} of list) {
          if (hasCome) {
            delay.arrived(milliseconds);
          } else {
            delay.expired(milliseconds);
          }
          expect(delay.milliseconds(false)).toBe(0);
          expect(delay.milliseconds(true)).toBeGreaterThanOrEqual(0);
          expect(delay.milliseconds(true)).toBeLessThanOrEqual(
            LONGEST_MILLISECONDS,
          );
        }
      }),
    );
  });

  it('takes calls that expire together for one', () => {
    // Guards against the longest wait after one burst of calls.
    const one = new LinkDelay();
    const many = new LinkDelay();
    one.expired(120);
    for (let call = 0; call < 50; call++) {
      many.expired(120);
    }
    expect(many.milliseconds(true)).toBeLessThanOrEqual(240);
    expect(one.milliseconds(true)).toBe(240);
  });

  it('forgets expired calls with what comes next', () => {
    // Guards against long waits for one silent peer while others answer.
    const delay = new LinkDelay();
    for (let call = 0; call < 40; call++) {
      delay.arrived(20);
    }
    delay.expired(500);
    expect(delay.milliseconds(true)).toBe(1_000);
    for (let call = 0; call < 20; call++) {
      delay.arrived(20);
    }
    expect(delay.milliseconds(true)).toBeLessThan(100);
  });
});

import {describe, expect, it} from 'vitest';

import {
  HeldKind,
  InputAccount,
  type EndedHolders,
} from '../input-memory/index.js';

const CAPACITY = 1_000_000;
const PART = 100_000;

describe('InputAccount', () => {
  it('ends exchanges of the source that holds most, and tells of them', () => {
    // Guards against a host whose memory the sum of many answers fills.
    const told: EndedHolders[] = [];
    const ended: string[] = [];
    const account = new InputAccount({
      capacityBytes: CAPACITY,
      onEnded: each => told.push(each),
    });
    const small = account.hold(HeldKind.RequestBody, 'caller', () => {
      ended.push('caller');
    });
    small.add(PART);
    for (let index = 0; index < 10; index++) {
      const held = account.hold(HeldKind.Answer, 'endpoint', () => {
        ended.push(`answer ${index}`);
      });
      held.add(PART);
    }
    expect(ended).toHaveLength(6);
    expect(ended).not.toContain('caller');
    expect(told).toEqual([
      {
        kind: HeldKind.Answer,
        source: 'endpoint',
        ended: 6,
        endedBytes: 6 * PART,
        sourceBytes: 10 * PART,
        totalBytes: 11 * PART,
        capacityBytes: CAPACITY,
      },
    ]);
    expect(account.describe()).toMatchObject({
      answer: 4 * PART,
      'request-body': PART,
    });
  });

  it('keeps what is complete, and counts it until it is closed', () => {
    // Guards against whole answers that are lost on their way to their callers.
    const account = new InputAccount({capacityBytes: CAPACITY});
    let isEnded = false;
    const whole = account.hold(HeldKind.Answer, 'endpoint', () => {
      isEnded = true;
    });
    whole.add(CAPACITY);
    whole.complete();
    account.hold(HeldKind.Event, 'endpoint').add(1);
    expect(isEnded).toBe(false);
    expect(account.bytesOf(HeldKind.Answer)).toBe(CAPACITY);
    whole.close();
    whole.add(1);
    expect(account.bytesOf(HeldKind.Answer)).toBe(0);
  });
});

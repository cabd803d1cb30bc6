import {BeginVerdict} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {Fleet, waitUntil} from './fleet.js';

describe('Keeper', () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = new Fleet();
  });

  afterEach(async () => {
    await fleet.close();
  });

  it('reserves with a witness, settles, and bills once', async () => {
    await fleet.add('a');
    await fleet.add('a');
    const holder = await fleet.holder('a');
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100);
    expect(answer.verdict).toBe(BeginVerdict.RESERVED);
    expect(answer.witness).not.toBe('');
    await router.settle(answer, 40);
    await waitUntil(() => fleet.ledger().totals('org').billedTokens > 0);
    expect(fleet.ledger().totals('org').billedTokens).toBe(40);
    expect(
      router.received.some(({kind}) => kind.case === 'configuration'),
    ).toBe(true);
  });

  it('refuses a request whose bound exceeds the whole budget', async () => {
    await fleet.add('a');
    await fleet.add('a');
    const router = fleet.router(await fleet.holder('a'));
    const answer = await router.begin('r1', 100_001);
    expect(answer.verdict).toBe(BeginVerdict.BUDGET);
  });
});

import {describe, expect, it} from 'vitest';

import {
  chooseCopyPlace,
  expectedOutputTokens,
  isWorthBackup,
  needsMove,
  type BackupRun,
  type CopyCost,
} from '../continuation/index.js';
import {createFraction} from './placement-replay.js';

const QUESTION: BackupRun = {
  promptTokens: 826,
  lengthHint: 294,
  maximumOutputTokens: 600,
  deliveredTokens: 0,
  priority: 0,
  tokenMilliseconds: 4,
};
const ENGINE: CopyCost = {
  bytesPerToken: 18_432,
  linkMegabitsPerSecond: 180_000,
  slots: 32,
  isRemote: false,
};

describe('a run', () => {
  it('is copied if it is long and urgent enough for its bytes', () => {
    // Guards against bytes for runs whose callers lose little.
    const summary = {...QUESTION, promptTokens: 9_190, lengthHint: 49};
    expect(isWorthBackup(QUESTION, ENGINE)).toBe(true);
    expect(isWorthBackup({...summary, priority: 2}, ENGINE)).toBe(false);
    const large = {...QUESTION, promptTokens: 40_000};
    expect(isWorthBackup(large, ENGINE)).toBe(false);
    expect(isWorthBackup({...large, lengthHint: 6_000}, ENGINE)).toBe(false);
    const long = {...large, maximumOutputTokens: 8_000, lengthHint: 6_000};
    expect(isWorthBackup(long, ENGINE)).toBe(true);
    expect(isWorthBackup({...long, priority: 6}, ENGINE)).toBe(false);
    const later = {...long, priority: 1};
    expect(isWorthBackup(later, ENGINE)).toBe(true);
    expect(isWorthBackup(later, {...ENGINE, isRemote: true})).toBe(false);
  });

  it('may have its maximum length once it has passed its estimate', () => {
    // Guards against estimates that are far too low.
    expect(expectedOutputTokens({...QUESTION, deliveredTokens: 301})).toBe(600);
  });
});

describe('a run at an endpoint that leaves', () => {
  const run = {...QUESTION, deliveredTokens: 94, remainingMilliseconds: 9_000};

  it('is moved if it is not expected to end in half of the time', () => {
    // Guards against moves of runs that end in time, and cuts of those that don't.
    expect(needsMove(run, 2_000)).toBe(false);
    expect(needsMove({...run, tokenMilliseconds: 6}, 2_000)).toBe(true);
    expect(needsMove({...run, deliveredTokens: 300}, 2_000)).toBe(true);
    expect(needsMove({...run, deliveredTokens: 360}, 2_000)).toBe(false);
  });

  it('stays if its caller waits no longer than that', () => {
    // Guards against moves of runs that end with their caller's deadline.
    const slow = {...run, tokenMilliseconds: 60};
    expect(needsMove({...slow, remainingMilliseconds: 900}, 2_000)).toBe(false);
  });
});

/** Tokens of copies at each engine while all hosts place theirs without messages. */
function placeCopies(hosts: number, engines: number): readonly number[] {
  const fraction = createFraction(hosts);
  const totals = new Array<number>(engines).fill(0);
  const tokens = QUESTION.promptTokens + 294;
  // 246 questions a second of 1.2 s, an uneven share of them at each host.
  const weights = Array.from({length: hosts}, () => fraction() ** 2);
  const sum = weights.reduce((one, other) => one + other, 0);
  for (const weight of weights) {
    const own = new Map<number, number>();
    for (let run = 0; run < (300 * weight) / sum; run++) {
      const candidates = totals.map((_total, id) => ({
        id: String(id),
        dataCenter: `dc-${id % 3}`,
        slots: 32,
        load: 0,
        copiedTokens: own.get(id) ?? 0,
      }));
      const request = {
        dataCenter: `dc-${run % 3}`,
        tokens,
        memoryTokens: 386_933,
        hosts,
        fraction: fraction(),
      };
      const id = Number(chooseCopyPlace(request, candidates)?.id);
      totals[id] = (totals[id] ?? 0) + tokens;
      own.set(id, (own.get(id) ?? 0) + tokens);
    }
  }
  return totals;
}

describe('copies of many hosts', () => {
  it.each([9, 65, 195])('are spread over engines by %i hosts', hosts => {
    // Guards against hosts that all copy to the same engine.
    const totals = placeCopies(hosts, 63);
    const mean = totals.reduce((one, other) => one + other, 0) / totals.length;
    expect(Math.max(...totals)).toBeLessThan(4 * mean);
    expect(Math.max(...totals)).toBeLessThan(386_933 / 4);
  });

  it('have no place at a busy endpoint or beyond their share of memory', () => {
    // Guards against copies that crowd out runs.
    const place = {dataCenter: 'a', slots: 8, load: 0, copiedTokens: 0};
    const request = {
      dataCenter: 'a',
      tokens: 1_000,
      memoryTokens: 100_000,
      hosts: 10,
      fraction: 0.9,
    };
    const choose = (...candidates: readonly object[]) =>
      chooseCopyPlace(
        request,
        candidates.map((fields, id) => ({...place, id: String(id), ...fields})),
      )?.id;
    expect(choose({load: 4})).toBeUndefined();
    expect(choose({copiedTokens: 2_000})).toBeUndefined();
    expect(choose({copiedTokens: 1_000})).toBe('0');
    expect(choose({dataCenter: 'b'}, {load: 2})).toBe('1');
    expect(choose({dataCenter: 'b'}, {load: 5})).toBe('0');
  });
});

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {LineBudget} from '../line-budget.js';
import {LineWriter} from '../line-writer.js';

type Done = (error: Error | null, written: number) => void;

interface Write {
  readonly text: string;
  readonly done: Done;
}

describe('LineWriter', () => {
  let writes: Write[];
  let writer: LineWriter;

  beforeEach(() => {
    vi.useFakeTimers();
    writes = [];
    writer = new LineWriter((bytes, done) => {
      writes.push({text: bytes.toString(), done});
    });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('writes many lines with one call', () => {
    writer.push('one\n');
    writer.push('two\n');
    vi.runAllTimers();
    expect(writes.map(({text}) => text)).toEqual(['one\ntwo\n']);
  });

  it('neither waits nor grows while nobody reads', () => {
    // Callers see nothing. The program that reads the log has stopped; the pipe is
    // full and the write under way does not end.
    for (let line = 0; line < 10_000; line++) {
      writer.push(`${'x'.repeat(99)}\n`);
      vi.runAllTimers();
    }
    expect(writes).toHaveLength(1);
    expect(writer.takeDropped()).toBeGreaterThan(7_000);
    expect(writer.takeDropped()).toBe(0);
  });

  it('goes on in order when the reader is back', () => {
    writer.push('one\n');
    vi.runAllTimers();
    writer.push('two\n');
    writer.push('three\n');
    writes[0]?.done(null, 4);
    vi.runAllTimers();
    expect(writes.map(({text}) => text)).toEqual(['one\n', 'two\nthree\n']);
  });

  it('writes the rest where only a part was taken', () => {
    writer.push('one and more\n');
    vi.runAllTimers();
    writes[0]?.done(null, 4);
    expect(writes[1]?.text).toBe('and more\n');
  });

  it('goes on after an error', () => {
    writer.push('one\n');
    vi.runAllTimers();
    writes[0]?.done(new Error('EAGAIN'), 0);
    writer.push('two\n');
    vi.runAllTimers();
    expect(writes[1]?.text).toBe('two\n');
  });
});

describe('LineBudget', () => {
  it('writes examples of a flood and counts the rest', () => {
    // A customer without budget sends 2,000 requests a second to one host.
    const budget = new LineBudget({perSecond: 100, burst: 200});
    let written = 0;
    for (let line = 0; line < 10_000; line++) {
      written += budget.take('refused', line / 2) ? 1 : 0;
    }
    expect(written).toBeGreaterThan(600);
    expect(written).toBeLessThan(800);
    expect(budget.takeWithheld()).toEqual([
      {event: 'refused', lines: 10_000 - written},
    ]);
    expect(budget.takeWithheld()).toEqual([]);
  });

  it('leaves other events their lines', () => {
    const budget = new LineBudget({perSecond: 1, burst: 1});
    expect(budget.take('refused', 0)).toBe(true);
    expect(budget.take('refused', 0)).toBe(false);
    expect(budget.take('store lost', 0)).toBe(true);
  });
});

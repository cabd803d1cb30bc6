import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {LineBudget} from '../line-budget.js';
import {LineWriter} from '../line-writer.js';

type Done = (error: Error | null, written: number) => void;

interface Write {
  readonly text: string;
  readonly done: Done;
}

function pipeFull(): Error {
  return Object.assign(new Error('write EAGAIN'), {code: 'EAGAIN'});
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

  it('writes the rest later where the pipe is full', () => {
    // Guards against lines of a busy second that are cut and lost.
    writer.push('one and more\n');
    vi.runAllTimers();
    writes[0]?.done(null, 4);
    writer.push('two\n');
    writes[1]?.done(pipeFull(), 0);
    expect(writes).toHaveLength(2);
    vi.runAllTimers();
    writes[2]?.done(null, 9);
    vi.runAllTimers();
    expect(writes.slice(2).map(({text}) => text)).toEqual([
      'and more\n',
      'two\n',
    ]);
    expect(writer.takeDropped()).toBe(0);
  });

  it('loses no line uncounted while the pipe stays full', () => {
    // Guards against a buffer that grows, and against lines missing without a word.
    const pushed = 10_000;
    for (let line = 0; line < pushed; line++) {
      writer.push(`${'x'.repeat(99)}\n`);
      vi.advanceTimersToNextTimer();
      writes.at(-1)?.done(pipeFull(), 0);
    }
    writes.splice(0);
    vi.advanceTimersToNextTimer();
    let written = 0;
    for (const {text, done} of writes) {
      written += text.length / 100;
      done(null, text.length);
      vi.runAllTimers();
    }
    expect(written).toBeLessThan(2_700);
    expect(written + writer.takeDropped()).toBe(pushed);
  });

  it('counts the lines that an error leaves unwritten', () => {
    // Guards against lines that are missing without a word.
    writer.push('one\n');
    writer.push('two\n');
    vi.runAllTimers();
    writes[0]?.done(null, 4);
    writes[1]?.done(new Error('EIO'), 0);
    expect(writer.takeDropped()).toBe(1);
  });

  it('ends a line that an error interrupted before it writes the next', () => {
    // Guards against two lines that run into one, which no reader understands.
    writer.push('one and more\n');
    writer.push('two\n');
    vi.runAllTimers();
    writes[0]?.done(null, 4);
    writes[1]?.done(new Error('ENOSPC'), 0);
    expect(writer.takeDropped()).toBe(1);
    for (const line of ['three\n', 'four\n']) {
      writer.push(line);
      vi.runAllTimers();
      writes.at(-1)?.done(new Error('ENOSPC'), 0);
    }
    expect(writer.takeDropped()).toBe(2);
    writer.push('five\n');
    vi.runAllTimers();
    expect(writes.at(-1)?.text).toBe('and more\nfive\n');
  });

  it('writes whole lines at the end, until the pipe is full', () => {
    // Guards against a last line that is cut, and against an end that waits.
    const last: string[] = [];
    writer = new LineWriter(
      (bytes, done) => {
        writes.push({text: bytes.toString(), done});
      },
      bytes => {
        if (last.length === 3) {
          throw pipeFull();
        }
        last.push(bytes.toString());
        return bytes.length;
      },
    );
    writer.push('one and more\n');
    vi.runAllTimers();
    writes[0]?.done(null, 4);
    writes[1]?.done(pipeFull(), 0);
    for (const line of ['two\n', 'three\n', 'four\n']) {
      writer.push(line);
    }
    writer.close();
    expect(last).toEqual(['and more\n', 'two\n', 'three\n']);
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

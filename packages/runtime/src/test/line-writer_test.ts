import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {LineRateLimiter} from '../line-rate-limiter.js';
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

  it('writes several lines with one call', () => {
    writer.push('one\n');
    writer.push('two\n');
    vi.runAllTimers();
    expect(writes.map(({text}) => text)).toEqual(['one\ntwo\n']);
  });

  it('neither blocks nor buffers without limit while the pipe is not read', () => {
    // The log reader has stopped: the pipe is full and the write in progress does not
    // complete. Callers must not be affected.
    for (let line = 0; line < 10_000; line++) {
      writer.push(`${'x'.repeat(99)}\n`);
      vi.runAllTimers();
    }
    expect(writes).toHaveLength(1);
    expect(writer.consumeDroppedCount()).toBeGreaterThan(7_000);
    expect(writer.consumeDroppedCount()).toBe(0);
  });

  it('continues in order once the pipe is read again', () => {
    writer.push('one\n');
    vi.runAllTimers();
    writer.push('two\n');
    writer.push('three\n');
    writes[0]?.done(null, 4);
    vi.runAllTimers();
    expect(writes.map(({text}) => text)).toEqual(['one\n', 'two\nthree\n']);
  });

  it('writes the rest after a partial write', () => {
    writer.push('one and more\n');
    vi.runAllTimers();
    writes[0]?.done(null, 4);
    expect(writes[1]?.text).toBe('and more\n');
  });

  it('continues after an error', () => {
    writer.push('one\n');
    vi.runAllTimers();
    writes[0]?.done(new Error('EAGAIN'), 0);
    writer.push('two\n');
    vi.runAllTimers();
    expect(writes[1]?.text).toBe('two\n');
  });

  it('retries the rest when the pipe is full', () => {
    // Guards against cut and lost lines during a burst that fills the pipe.
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
    expect(writer.consumeDroppedCount()).toBe(0);
  });

  it('writes or counts every line while the pipe stays full', () => {
    // Guards against a buffer without limit, and against lines lost without a count.
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
    expect(written + writer.consumeDroppedCount()).toBe(pushed);
  });

  it('counts the lines that a write error leaves unwritten', () => {
    // Guards against lines lost without a count.
    writer.push('one\n');
    writer.push('two\n');
    vi.runAllTimers();
    writes[0]?.done(null, 4);
    writes[1]?.done(new Error('EIO'), 0);
    expect(writer.consumeDroppedCount()).toBe(1);
  });

  it('completes a partially written line after an error before writing the next', () => {
    // Guards against two lines merged into one, which is not valid JSON.
    writer.push('one and more\n');
    writer.push('two\n');
    vi.runAllTimers();
    writes[0]?.done(null, 4);
    writes[1]?.done(new Error('ENOSPC'), 0);
    expect(writer.consumeDroppedCount()).toBe(1);
    for (const line of ['three\n', 'four\n']) {
      writer.push(line);
      vi.runAllTimers();
      writes.at(-1)?.done(new Error('ENOSPC'), 0);
    }
    expect(writer.consumeDroppedCount()).toBe(2);
    writer.push('five\n');
    vi.runAllTimers();
    expect(writes.at(-1)?.text).toBe('and more\nfive\n');
  });

  it('writes whole lines on close until the pipe is full', () => {
    // Guards against a truncated last line, and against a close that blocks.
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

describe('LineRateLimiter', () => {
  it('writes a sample of a burst and counts the rest', () => {
    // An organisation without budget sends 2,000 requests per second to one host.
    const limiter = new LineRateLimiter({perSecond: 100, burst: 200});
    let written = 0;
    for (let line = 0; line < 10_000; line++) {
      written += limiter.tryAcquire('refused', line / 2) ? 1 : 0;
    }
    expect(written).toBeGreaterThan(600);
    expect(written).toBeLessThan(800);
    expect(limiter.consumeSuppressedCounts()).toEqual([
      {event: 'refused', lines: 10_000 - written},
    ]);
    expect(limiter.consumeSuppressedCounts()).toEqual([]);
  });

  it('limits each event separately', () => {
    const limiter = new LineRateLimiter({perSecond: 1, burst: 1});
    expect(limiter.tryAcquire('refused', 0)).toBe(true);
    expect(limiter.tryAcquire('refused', 0)).toBe(false);
    expect(limiter.tryAcquire('store lost', 0)).toBe(true);
  });
});

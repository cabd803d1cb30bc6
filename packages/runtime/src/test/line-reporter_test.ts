import {createConsola, type ConsolaInstance} from 'consola';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {LineReporter} from '../line-reporter.js';
import {LineWriter} from '../line-writer.js';

type Done = (error: Error | null, written: number) => void;

/** More than may wait for a reader. */
const FLOOD_LINES = 3_000;

describe('LineReporter', () => {
  let written: string[];
  let writes: (() => void)[];
  let log: ConsolaInstance;

  beforeEach(() => {
    vi.useFakeTimers();
    written = [];
    writes = [];
    const writer = new LineWriter((bytes: Buffer, done: Done) => {
      writes.push(() => {
        written.push(...bytes.toString().trimEnd().split('\n'));
        done(null, bytes.length);
      });
    });
    log = createConsola({level: 3, reporters: [new LineReporter(writer, {})]});
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** The reader takes all that waits. */
  function read(): void {
    vi.runAllTimers();
    for (const write of writes.splice(0)) {
      write();
    }
  }

  function linesOf(event: string): readonly {lines: number; of?: string}[] {
    return written
      .map(line => JSON.parse(line) as {event: string; lines: number})
      .filter(line => line.event === event);
  }

  it('tells all lines that were dropped while nobody read', () => {
    // Guards against numbers that are dropped with the lines that tell them.
    for (let line = 0; line < FLOOD_LINES; line++) {
      log.info(`event ${line}`, {text: 'x'.repeat(100)});
      vi.advanceTimersByTime(10);
    }
    read();
    read();
    vi.advanceTimersByTime(1_000);
    log.info('after', {});
    read();
    read();
    const dropped = linesOf('log lines dropped');
    expect(dropped).toHaveLength(1);
    const inAll = dropped.reduce((sum, {lines}) => sum + lines, 0);
    expect(inAll).toBeGreaterThan(1_000);
    expect(inAll + written.length).toBe(FLOOD_LINES + 2);
  });

  it('tells all lines that were withheld while nobody read', () => {
    // Guards against numbers that are dropped with the lines that tell them.
    for (let line = 0; line < FLOOD_LINES; line++) {
      log.info('refused', {line, text: 'x'.repeat(100)});
      log.info(`event ${line}`, {text: 'x'.repeat(100)});
      vi.advanceTimersByTime(1);
    }
    read();
    read();
    vi.advanceTimersByTime(1_000);
    log.info('after', {});
    read();
    read();
    const notices = [
      ...linesOf('log lines withheld'),
      ...linesOf('log lines dropped'),
    ];
    const inAll = notices.reduce((sum, {lines}) => sum + lines, 0);
    const told = inAll + written.length - notices.length;
    expect(told).toBe(2 * FLOOD_LINES + 1);
  });
});

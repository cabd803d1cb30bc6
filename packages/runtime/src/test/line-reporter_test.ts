import {createConsola, type ConsolaInstance} from 'consola';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {LineReporter} from '../line-reporter.js';
import {LineWriter} from '../line-writer.js';

type Done = (error: Error | null, written: number) => void;

/** More lines than the writer's buffer holds. */
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

  /** Completes all pending writes. */
  function drainWrites(): void {
    vi.runAllTimers();
    for (const write of writes.splice(0)) {
      write();
    }
  }

  function linesOf(
    event: string,
  ): readonly {lines: number; suppressedEvent?: string}[] {
    return written
      .map(line => JSON.parse(line) as {event: string; lines: number})
      .filter(line => line.event === event);
  }

  it('reports every line dropped while the output was not read', () => {
    // Guards against losing the counts: a report that is itself dropped must not
    // reset its counter.
    for (let line = 0; line < FLOOD_LINES; line++) {
      log.info(`event ${line}`, {text: 'x'.repeat(100)});
      vi.advanceTimersByTime(10);
    }
    drainWrites();
    drainWrites();
    vi.advanceTimersByTime(1_000);
    log.info('after', {});
    drainWrites();
    drainWrites();
    const dropped = linesOf('log lines dropped');
    expect(dropped).toHaveLength(1);
    const missingLines = dropped.reduce((sum, {lines}) => sum + lines, 0);
    expect(missingLines).toBeGreaterThan(1_000);
    expect(missingLines + written.length).toBe(FLOOD_LINES + 2);
  });

  it('reports every line suppressed while the output was not read', () => {
    // Guards against losing the counts: a report that is itself dropped must not
    // reset its counter.
    for (let line = 0; line < FLOOD_LINES; line++) {
      log.info('refused', {line, text: 'x'.repeat(100)});
      log.info(`event ${line}`, {text: 'x'.repeat(100)});
      vi.advanceTimersByTime(1);
    }
    drainWrites();
    drainWrites();
    vi.advanceTimersByTime(1_000);
    log.info('after', {});
    drainWrites();
    drainWrites();
    const reports = [
      ...linesOf('log lines suppressed'),
      ...linesOf('log lines dropped'),
    ];
    const missingLines = reports.reduce((sum, {lines}) => sum + lines, 0);
    const accountedLines = missingLines + written.length - reports.length;
    expect(accountedLines).toBe(2 * FLOOD_LINES + 1);
  });
});

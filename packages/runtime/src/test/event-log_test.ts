import {LogLevel} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {EventLog} from '../event-log.js';

function logTo(lines: string[], level = LogLevel.INFO): EventLog {
  return EventLog.create(level, {process: 'router', host: 'h1'}, line => {
    lines.push(line);
  });
}

describe('EventLog', () => {
  it('writes one JSON line per event with common and event fields', () => {
    const lines: string[] = [];
    logTo(lines)
      .with({organisation: 'a'})
      .warn('endpoint slow', {peer: 'tutor-1', step: 'first token'});
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatch(/^[^\n]*\n$/);
    expect(JSON.parse(lines[0] ?? '')).toMatchObject({
      level: 'warn',
      event: 'endpoint slow',
      process: 'router',
      host: 'h1',
      organisation: 'a',
      peer: 'tutor-1',
      step: 'first token',
    });
  });

  it('escapes line breaks in fields', () => {
    const lines: string[] = [];
    logTo(lines).error('failed', {reason: 'one\ntwo'});
    expect(lines[0]?.split('\n')).toHaveLength(2);
  });

  it.each([
    [LogLevel.ERROR, ['error']],
    [LogLevel.WARN, ['error', 'warn']],
    [LogLevel.INFO, ['error', 'warn', 'info']],
    [LogLevel.DEBUG, ['error', 'warn', 'info', 'debug']],
  ])('writes the events of its level and above (%#)', (level, expected) => {
    const lines: string[] = [];
    const log = logTo(lines, level);
    log.error('e');
    log.warn('e');
    log.info('e');
    log.debug('e');
    const levels = lines.map(
      line => (JSON.parse(line) as {level: string}).level,
    );
    expect(levels).toEqual(expected);
  });
});

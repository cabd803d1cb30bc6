import {LogLevel} from '@wisteriadeal/schema';
import {createConsola, type ConsolaInstance} from 'consola';

import {LineReporter, type LineSink} from './line-reporter.js';
import {LineWriter} from './line-writer.js';

/** Fields of one event. Must not contain prompts, answers or credentials. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.UNSPECIFIED]: 3,
  [LogLevel.ERROR]: 0,
  [LogLevel.WARN]: 1,
  [LogLevel.INFO]: 3,
  [LogLevel.DEBUG]: 4,
};

/**
 * Structured log that writes one JSON line per event to standard output.
 */
export class EventLog {
  private constructor(
    private readonly consola: ConsolaInstance,
    private readonly common: EventFields,
  ) {}

  /**
   * @param level Least severe level that is written.
   * @param common Fields of every line, such as the process and host.
   * @param write Called with each line, including its line feed. If absent, lines
   *     are written to standard output without blocking the process.
   * @example
   * ```ts
   * const log = EventLog.create(LogLevel.INFO, {process: 'router'});
   * log.info('listening', {callerAddress: '127.0.0.1:8080'});
   * ```
   */
  static create(
    level: LogLevel,
    common: EventFields,
    write?: (line: string) => void,
  ): EventLog {
    const sink =
      write === undefined
        ? standardOutputSink()
        : {push: write, consumeDroppedCount: () => 0, hasRoom: true};
    const consola = createConsola({
      level: CONSOLA_LEVELS[level],
      reporters: [new LineReporter(sink, common)],
    });
    return new EventLog(consola, common);
  }

  /** Returns a log that adds these fields to every line. */
  with(fields: EventFields): EventLog {
    return new EventLog(this.consola, {...this.common, ...fields});
  }

  /** Logs a failure that requires an operator's attention. */
  error(event: string, fields: EventFields = {}): void {
    this.consola.error(event, {...this.common, ...fields});
  }

  /** Logs a failure that the process has handled. */
  warn(event: string, fields: EventFields = {}): void {
    this.consola.warn(event, {...this.common, ...fields});
  }

  /** Logs a state change that helps to interpret later events. */
  info(event: string, fields: EventFields = {}): void {
    this.consola.info(event, {...this.common, ...fields});
  }

  /** Logs details of individual requests. */
  debug(event: string, fields: EventFields = {}): void {
    this.consola.debug(event, {...this.common, ...fields});
  }
}

function standardOutputSink(): LineSink {
  const writer = new LineWriter();
  process.once('exit', () => {
    writer.close();
  });
  return writer;
}

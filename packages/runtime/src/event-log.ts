import {LogLevel} from '@wisteriadeal/schema';
import {createConsola, type ConsolaInstance} from 'consola';

import {LineReporter, type LineSink} from './line-reporter.js';
import {LineWriter} from './line-writer.js';

/** Fields of one event. Never a prompt, an answer or a credential. */
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
 * Structured log: one JSON line an event on standard output.
 */
export class EventLog {
  private constructor(
    private readonly consola: ConsolaInstance,
    private readonly common: EventFields,
  ) {}

  /**
   * @param level What is written.
   * @param common Fields of every line, such as the process and host.
   * @param write Takes one line with its line end; standard output where absent,
   *     which never makes the process wait for a reader.
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
        ? standardOutput()
        : {push: write, takeDropped: () => 0, hasRoom: true};
    const consola = createConsola({
      level: CONSOLA_LEVELS[level],
      reporters: [new LineReporter(sink, common)],
    });
    return new EventLog(consola, common);
  }

  /** A log whose lines carry more common fields. */
  with(fields: EventFields): EventLog {
    return new EventLog(this.consola, {...this.common, ...fields});
  }

  /** Something failed that an operator has to know of. */
  error(event: string, fields: EventFields = {}): void {
    this.consola.error(event, {...this.common, ...fields});
  }

  /** Something went wrong and was handled. */
  warn(event: string, fields: EventFields = {}): void {
    this.consola.warn(event, {...this.common, ...fields});
  }

  /** Something happened that explains later events. */
  info(event: string, fields: EventFields = {}): void {
    this.consola.info(event, {...this.common, ...fields});
  }

  /** Details of each request. */
  debug(event: string, fields: EventFields = {}): void {
    this.consola.debug(event, {...this.common, ...fields});
  }
}

function standardOutput(): LineSink {
  const writer = new LineWriter();
  process.once('exit', () => {
    writer.close();
  });
  return writer;
}

import {LogLevel} from '@wisteriadeal/schema';
import {createConsola, type ConsolaInstance} from 'consola';

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
   * @param write Takes one line with its line end.
   * @example
   * ```ts
   * const log = EventLog.create(LogLevel.INFO, {process: 'router'});
   * log.info('listening', {callerAddress: '127.0.0.1:8080'});
   * ```
   */
  static create(
    level: LogLevel,
    common: EventFields,
    write: (line: string) => void = line => process.stdout.write(line),
  ): EventLog {
    const consola = createConsola({
      level: CONSOLA_LEVELS[level],
      reporters: [
        {
          log: entry => {
            const [event, fields] = entry.args as [string, EventFields];
            write(
              `${JSON.stringify({
                time: entry.date.toISOString(),
                level: entry.type,
                event,
                ...fields,
              })}\n`,
            );
          },
        },
      ],
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

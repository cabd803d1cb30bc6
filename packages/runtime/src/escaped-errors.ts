import type {EventLog} from './event-log.js';
import {ExitCode} from './binary.js';

function reasonOf(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}

/**
 * Logs errors that nobody has caught. Without it, a process with hundreds of open
 * requests ends over one connection's error, and standard error is all that tells.
 *
 * A rejected promise that nobody waits for harms nobody else: the process goes on. An
 * exception that was thrown out of an event leaves it unknown what was half done:
 * the process ends, and its successor closes its grants.
 *
 * @example
 * ```ts
 * reportEscapedErrors(EventLog.create(LogLevel.INFO, {process: 'gateway'}));
 * ```
 */
export function reportEscapedErrors(events: EventLog): void {
  process.on('unhandledRejection', error => {
    events.error('rejection not handled', {reason: reasonOf(error)});
  });
  process.on('uncaughtException', error => {
    events.error('exception not caught', {reason: reasonOf(error)});
    process.exit(ExitCode.Failure);
  });
}

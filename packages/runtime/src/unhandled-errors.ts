import type {EventLog} from './event-log.js';
import {ExitCode} from './binary.js';

function describeError(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}

/**
 * Logs unhandled promise rejections and uncaught exceptions. Without these handlers,
 * an error on one connection would end a process with hundreds of open requests, and
 * would be reported on standard error only.
 *
 * After an unhandled rejection the process continues, as no other request depends on
 * the promise. After an uncaught exception its state may be inconsistent: the process
 * exits, and its successor closes its grants.
 *
 * @example
 * ```ts
 * logUnhandledErrors(EventLog.create(LogLevel.INFO, {process: 'gateway'}));
 * ```
 */
export function logUnhandledErrors(events: EventLog): void {
  process.on('unhandledRejection', error => {
    events.error('unhandled promise rejection', {reason: describeError(error)});
  });
  process.on('uncaughtException', error => {
    events.error('uncaught exception', {reason: describeError(error)});
    process.exit(ExitCode.Failure);
  });
}

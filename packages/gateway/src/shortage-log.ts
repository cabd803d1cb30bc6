import type {Clock, HostShortage} from '@wisteriadeal/platform';
import type {EventFields, EventLog} from '@wisteriadeal/runtime';

/** Dependencies of `ShortageLog`. */
export interface ShortageLogParts {
  readonly clock: Clock;
  readonly events: EventLog;
  /** What the host holds at the moment, as fields of a line. */
  readonly describeHost: () => EventFields;
}

/** Lines of one shortage come no more often than this, milliseconds. */
const LINE_INTERVAL_MILLISECONDS = 1_000;

/** Failed connects that have no line of their own yet. */
interface UnloggedFailures {
  loggedAt: number;
  count: number;
}

/**
 * Logs connects that failed because this host itself lacks something, with what it holds.
 *
 * @example
 * ```ts
 * shortages.record(HostShortage.Descriptor, {service, endpoint, reason});
 * ```
 */
export class ShortageLog {
  private readonly unlogged = new Map<HostShortage, UnloggedFailures>();

  constructor(private readonly parts: ShortageLogParts) {}

  /** Records a failed connect; its line counts those since the line before. */
  record(shortage: HostShortage, connect: EventFields): void {
    const now = this.parts.clock.monotonicMilliseconds();
    const failures = this.unlogged.get(shortage) ?? {
      loggedAt: -Infinity,
      count: 0,
    };
    this.unlogged.set(shortage, failures);
    failures.count++;
    if (now - failures.loggedAt >= LINE_INTERVAL_MILLISECONDS) {
      const {count} = failures;
      failures.loggedAt = now;
      failures.count = 0;
      this.parts.events.warn('connect failed on this host', {
        shortage,
        failures: count,
        ...connect,
        ...this.parts.describeHost(),
      });
    }
  }
}

import type {Clock, HostListing} from '@wisteriadeal/platform';

interface ScheduledListing {
  readonly fromMilliseconds: number;
  readonly listing: HostListing;
}

const EMPTY: HostListing = {hosts: [], endpoints: []};

/**
 * The platform's list of hosts and endpoints. A change becomes visible after a delay,
 * and addresses may differ by viewer, as if viewers reached hosts over different
 * networks.
 */
export class HostDirectory {
  private readonly schedules = new Map<string, ScheduledListing[]>();

  constructor(
    private readonly clock: Clock,
    private readonly lagMilliseconds: number,
  ) {}

  /** Sets a viewer's listing; the empty name sets the default for other viewers. */
  set(viewer: string, listing: HostListing): void {
    const schedule = this.schedules.get(viewer) ?? [];
    // The first listing is visible at once, as no process runs before it.
    const lag = schedule.length === 0 ? 0 : this.lagMilliseconds;
    const fromMilliseconds = this.clock.monotonicMilliseconds() + lag;
    this.schedules.set(viewer, [...schedule, {fromMilliseconds, listing}]);
  }

  /** Returns the listing that is visible to a viewer now. */
  read(viewer: string): HostListing {
    const now = this.clock.monotonicMilliseconds();
    const schedule = this.schedules.get(viewer) ?? this.schedules.get('') ?? [];
    const visible = schedule.filter(entry => entry.fromMilliseconds <= now);
    return visible.at(-1)?.listing ?? EMPTY;
  }
}

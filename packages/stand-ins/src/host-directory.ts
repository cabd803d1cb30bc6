import type {Clock, HostListing} from '@wisteriadeal/platform';

interface Showing {
  readonly fromMilliseconds: number;
  readonly listing: HostListing;
}

const EMPTY: HostListing = {hosts: [], endpoints: []};

/**
 * The platform's list: a change is shown only after a lag, and addresses may
 * differ by viewer, as they do where viewers reach hosts over different networks.
 */
export class HostDirectory {
  private readonly showings = new Map<string, Showing[]>();

  constructor(
    private readonly clock: Clock,
    private readonly lagMilliseconds: number,
  ) {}

  /** Sets what a viewer sees; the empty name is for all others. */
  set(viewer: string, listing: HostListing): void {
    const showings = this.showings.get(viewer) ?? [];
    // The first listing is shown at once: before it, nothing runs.
    const lag = showings.length === 0 ? 0 : this.lagMilliseconds;
    const fromMilliseconds = this.clock.monotonicMilliseconds() + lag;
    this.showings.set(viewer, [...showings, {fromMilliseconds, listing}]);
  }

  /** What a viewer sees now. */
  read(viewer: string): HostListing {
    const now = this.clock.monotonicMilliseconds();
    const showings = this.showings.get(viewer) ?? this.showings.get('') ?? [];
    const shown = showings.filter(showing => showing.fromMilliseconds <= now);
    return shown.at(-1)?.listing ?? EMPTY;
  }
}

import {
  Fate,
  HostList,
  StepError,
  type HostListing,
} from '@wisteriadeal/platform';

/** An in-memory host list with contents set by a test. */
export class MemoryHostList extends HostList {
  /** Whether reads fail. */
  outage = false;

  /**
   * @param listing The listing that `read` returns; may be replaced at any time.
   * @example
   * ```ts
   * const list = new MemoryHostList({hosts: [], endpoints: []});
   * ```
   */
  constructor(public listing: HostListing) {
    super();
  }

  override read(): Promise<HostListing> {
    return this.outage
      ? Promise.reject(
          new StepError(
            'read the host list',
            'memory host list',
            Fate.NotDone,
            'outage',
          ),
        )
      : Promise.resolve(this.listing);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

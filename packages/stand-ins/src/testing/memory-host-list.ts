import {
  Fate,
  HostList,
  StepError,
  type HostListing,
} from '@wisteriadeal/platform';

/** A host list that a test sets. */
export class MemoryHostList extends HostList {
  /** While true, reading fails. */
  outage = false;

  /**
   * @param listing What `read` returns; may be replaced at any time.
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

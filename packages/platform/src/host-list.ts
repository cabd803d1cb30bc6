/** Whether the platform still assigns work to a host or endpoint. */
export enum ListedState {
  Live = 'live',
  Leaving = 'leaving',
}

/** A host in the platform's list. Addresses are `IP:port`. */
export interface ListedHost {
  readonly host: string;
  readonly dataCenter: string;
  readonly state: ListedState;
  readonly keeperAddress: string;
  readonly routerControlAddress: string;
  readonly callerAddress: string;
}

/** An endpoint in the platform's list. */
export interface ListedEndpoint {
  readonly endpoint: string;
  readonly state: ListedState;
}

/** A copy of the platform's list. It lags behind the actual state. */
export interface HostListing {
  readonly hosts: readonly ListedHost[];
  readonly endpoints: readonly ListedEndpoint[];
  /** Number of entries that can't be read and were left out; 0 if omitted. */
  readonly ignoredEntries?: number;
}

/** The platform's list of live and leaving hosts. */
export abstract class HostList {
  /**
   * Reads the list.
   *
   * @throws StepError when the list could not be read; callers keep using the
   *     last copy.
   * @example
   * ```ts
   * const {hosts} = await hostList.read();
   * ```
   */
  abstract read(signal?: AbortSignal): Promise<HostListing>;

  /** Closes open connections. */
  abstract close(): Promise<void>;
}

/** Whether the platform goes on giving work to a host or endpoint. */
export enum ListedState {
  Live = 'live',
  Leaving = 'leaving',
}

/** An entry host as the platform lists it. Addresses are `IP:port`. */
export interface ListedHost {
  readonly host: string;
  readonly dataCenter: string;
  readonly state: ListedState;
  readonly keeperAddress: string;
  readonly routerControlAddress: string;
  readonly callerAddress: string;
}

/** An endpoint as the platform lists it. */
export interface ListedEndpoint {
  readonly endpoint: string;
  readonly state: ListedState;
}

/** One reading of the platform's list. It lags behind what is true. */
export interface HostListing {
  readonly hosts: readonly ListedHost[];
  readonly endpoints: readonly ListedEndpoint[];
}

/** The platform's list of live and leaving hosts. */
export abstract class HostList {
  /**
   * Reads the whole list.
   *
   * @throws StepError when the platform can't be reached; the last listing then
   *     stays the best knowledge.
   * @example
   * ```ts
   * const {hosts} = await hostList.read();
   * ```
   */
  abstract read(signal?: AbortSignal): Promise<HostListing>;

  /** Ends open connections. */
  abstract close(): Promise<void>;
}

/** Bytes from outside that one exchange holds. */
export interface MemoryHolder {
  /** Identifies the endpoint or caller that the bytes come from. */
  readonly source: string;
  readonly bytes: number;
  /** Whether ending the exchange frees them: what is complete is delivered. */
  readonly isEndable: boolean;
}

/** Decides which exchanges are ended when all of them hold more than there is room for. */
export abstract class MemoryPolicy {
  /**
   * The holders to end, in order; none while they hold no more than the capacity.
   *
   * @param capacityBytes What all holders together may hold.
   */
  abstract holdersToEnd<Holder extends MemoryHolder>(
    holders: Iterable<Holder>,
    capacityBytes: number,
  ): readonly Holder[];
}

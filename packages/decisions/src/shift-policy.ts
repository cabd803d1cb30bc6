/** Decides whether requests may be placed in another data centre. */
export abstract class ShiftPolicy {
  /**
   * @param localWaitMilliseconds Expected wait for a slot in the router's own
   *     data centre; Infinity if it has no endpoint.
   * @param roundTripMilliseconds Round-trip time to the other data centre.
   */
  abstract isShiftWorthwhile(
    localWaitMilliseconds: number,
    roundTripMilliseconds: number,
  ): boolean;

  /** Returns how many of a remote endpoint's slots this router may use. */
  abstract remoteSlots(usableSlots: number): number;
}

/** Baseline policy: requests stay in their data centre. */
export class NeverShift extends ShiftPolicy {
  override isShiftWorthwhile(): boolean {
    return false;
  }

  override remoteSlots(): number {
    return 0;
  }
}

/** Decides whether work may go to another data centre. */
export abstract class ShiftPolicy {
  /**
   * @param localWaitMilliseconds Expected wait for a slot in the own data
   *     centre; Infinity where it has no endpoint.
   * @param tripMilliseconds There and back.
   */
  abstract isWorthTheTrip(
    localWaitMilliseconds: number,
    tripMilliseconds: number,
  ): boolean;

  /** How many of a remote endpoint's slots this router may fill. */
  abstract remoteSlots(usableSlots: number): number;
}

/** Work stays in its data centre: the baseline. */
export class NeverShift extends ShiftPolicy {
  override isWorthTheTrip(): boolean {
    return false;
  }

  override remoteSlots(): number {
    return 0;
  }
}

/**
 * The congestion state of the host's inbound network link. Calls consult it because
 * data that arrives over a full link is delayed regardless of the peer.
 *
 * @example
 * ```ts
 * const timeout = new NetworkTimeout(120 + link.delayMilliseconds, onTimeout);
 * ```
 */
export abstract class HostLink {
  /** Queueing delay of inbound data at the link, in milliseconds; 0 without congestion. */
  abstract get delayMilliseconds(): number;

  /**
   * Whether the link is full or was full recently, so that a late response is no evidence
   * of a faulty peer.
   */
  abstract get isCongested(): boolean;

  /**
   * Largest response, in bytes, that the link can deliver within a time in milliseconds;
   * Infinity without congestion.
   */
  abstract maximumAnswerBytes(milliseconds: number): number;

  /** Whether the link is congested and no inbound data arrived without delay recently. */
  abstract get isLate(): boolean;

  /**
   * Records how long a connection took to open, or how long it has been pending, in
   * milliseconds.
   */
  abstract recordConnection(milliseconds: number): void;

  /**
   * Records the milliseconds until the arrival of data that the peer sends without
   * delay.
   */
  abstract recordArrival(milliseconds: number): void;

  /** Records that such data did not arrive, and after how many milliseconds the wait ended. */
  abstract recordTimeout(milliseconds: number): void;
}

/** A link without congestion: it delays no data and ignores measurements. */
export class UncongestedLink extends HostLink {
  override readonly delayMilliseconds: number = 0;
  override readonly isCongested = false;
  override readonly isLate = false;

  override recordConnection(): void {
    // The delay is always 0.
  }

  override maximumAnswerBytes(): number {
    return Infinity;
  }

  override recordArrival(): void {
    // The delay is always 0.
  }

  override recordTimeout(): void {
    // The delay is always 0.
  }
}

/** An endpoint as described by the platform's list. */
export interface EndpointEntry {
  /**
   * Identifies one start of the endpoint, or several starts that differ in
   * `bornAt`.
   */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly dataCenter: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Whether the endpoint is about to leave and gets no new requests. */
  readonly isLeaving: boolean;
  /**
   * Start time by the endpoint's own clock, milliseconds since 1970; 0 if not
   * stated.
   */
  readonly bornAt: number;
  /** Rises with each entry of a start; undefined if not stated. */
  readonly sequence: number | undefined;
  /**
   * Build of its software, which other endpoints of the service may share. It
   * has no order.
   */
  readonly build: string;
  /** How much longer it stays cold, milliseconds; undefined if not stated. */
  readonly coldMilliseconds: number | undefined;
  /** Optional fields that were ignored, because their values are not valid. */
  readonly ignoredFields: readonly string[];
}

/** A cold endpoint, and the requests a second that it bears from all hosts together. */
export interface ColdEndpoint {
  readonly id: string;
  readonly requestsPerSecond: number;
}

/**
 * Decides which requests a host sends to cold endpoints. An endpoint that gets many
 * more than it bears crashes, and every host sees only its own requests.
 */
export abstract class ColdAdmission {
  /** @param now Monotonic clock, milliseconds. */
  abstract mayAdmit(endpoint: ColdEndpoint, now: number): boolean;

  /** Records that a request was sent to a cold endpoint. */
  abstract admitted(endpoint: ColdEndpoint, now: number): void;
}

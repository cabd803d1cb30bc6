/** What one host has at an endpoint. */
export interface EndpointUse {
  /** Identifies one start of the endpoint. */
  readonly endpoint: string;
  /** Requests that the endpoint has room for, as the host knows it. */
  readonly room: number;
  /** Places there that the host hands over to be divided. */
  readonly ownPlaces: number;
  /** Places there that the host keeps, as its requests have them. */
  readonly running: number;
  /** Requests that the endpoint refused for want of room since the last report. */
  readonly refusals: number;
}

/** What one host has at the endpoints of a service, and what it needs. */
export interface PlaceReport {
  readonly host: string;
  /** Requests that wait for a place. */
  readonly waiting: number;
  /** The endpoints at which the host can use places. */
  readonly endpoints: readonly EndpointUse[];
}

/** The places that a host may use until its next report, by endpoint. */
export type Allotment = ReadonlyMap<string, number>;

/**
 * Divides the places at the endpoints of a service among the hosts that report to one
 * of them. All times are on the monotonic clock, in milliseconds.
 */
export abstract class PlaceDivision {
  /** Whether the hosts need more places than there are. */
  abstract readonly isShort: boolean;

  /**
   * Whether there are so few free places that hosts should give theirs back at once, and
   * not with the next report.
   */
  abstract readonly isTight: boolean;

  /** Records a report, and returns what its host may use. */
  abstract report(report: PlaceReport, now: number): Allotment;

  /** Divides again for a host that has reported and waits. */
  abstract divide(host: string, now: number): Allotment;

  /** Whether a host's latest report is still in force. */
  abstract hasReport(host: string, now: number): boolean;
}

/** The sum of the places of an allotment. */
export function placesIn(allotment: Allotment): number {
  return [...allotment.values()].reduce((sum, places) => sum + places, 0);
}

/** An endpoint as the platform's list tells of it. */
export interface EndpointEntry {
  /** Names one start of the endpoint, or several with a new `bornAt` each. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly dataCenter: string;
  readonly slots: number;
  /** It leaves soon and gets nothing new. */
  readonly isLeaving: boolean;
  /** Milliseconds since 1970 of its start, by its own clock; 0 where not told. */
  readonly bornAt: number;
}

/** Sizes and times of a fleet that the runner starts. */
export interface FleetPlan {
  readonly dataCenters: readonly DataCenterPlan[];
  readonly engine: EnginePlan;
  readonly keeper: KeeperPlan;
  readonly ledgerStreams: number;
  readonly listLagMilliseconds: number;
  readonly millisecondsPerCall: number;
  readonly seed: number;
}

/** Numbers of entry hosts, engines and plain services in one data centre. */
export interface DataCenterPlan {
  readonly name: string;
  readonly hosts: number;
  readonly engines: number;
  readonly plainServices: number;
}

/** Capacity and speed of the engines. */
export interface EnginePlan {
  readonly slots: number;
  readonly maximumWaiting: number;
  readonly millisecondsPerToken: number;
  readonly promptTokensPerStep: number;
}

/** Settings of the keepers; all times are in milliseconds. */
export interface KeeperPlan {
  readonly platformTimeout: number;
  readonly billFlush: number;
  readonly heartbeat: number;
  readonly heartbeatLimit: number;
  readonly fenceDelay: number;
  readonly orphanWait: number;
  readonly checkpointRecords: number;
}

/**
 * The fleet of the demo: two data centres with two entry hosts each, four
 * engines and one plain service.
 */
export const SMALL_FLEET: FleetPlan = {
  dataCenters: [
    {name: 'kigali-1', hosts: 2, engines: 2, plainServices: 1},
    {name: 'kigali-2', hosts: 2, engines: 2, plainServices: 0},
  ],
  engine: {
    slots: 8,
    maximumWaiting: 64,
    millisecondsPerToken: 3,
    promptTokensPerStep: 64,
  },
  // Shorter than in production, so that a case ends within a minute; each case states
  // the scale.
  keeper: {
    platformTimeout: 1_000,
    billFlush: 50,
    heartbeat: 100,
    heartbeatLimit: 500,
    fenceDelay: 1_000,
    orphanWait: 1_000,
    checkpointRecords: 500,
  },
  ledgerStreams: 4,
  listLagMilliseconds: 200,
  millisecondsPerCall: 5,
  seed: 1,
};

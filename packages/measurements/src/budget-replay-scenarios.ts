/** A time span in seconds from the start; the end is exclusive. */
export interface TimeSpan {
  readonly from: number;
  readonly to: number;
}

/** A time span during which a fault affects some hosts. */
export interface HostSpan extends TimeSpan {
  /** Host indexes, from 0. */
  readonly hosts: readonly number[];
}

/** An organisation's budget and the load of its callers. */
export interface ReplayOrganisation {
  readonly name: string;
  readonly requestsPerSecond: number;
  /** The budget, as a multiple of the expected usage of its callers. */
  readonly budgetFactor: number;
  /** Index of the host that all of its callers use; undefined if they use all hosts. */
  readonly host: number | undefined;
}

/** The faults and load changes during a replay. */
export interface ReplayScenario {
  readonly name: string;
  /** Spans in which hosts can't reach the store. */
  readonly storeOutages: readonly HostSpan[];
  /** Spans in which hosts reach neither the store nor hosts outside their group. */
  readonly dataCenterPartitions: readonly HostSpan[];
  /** Spans in which a host's process is down; a new one starts at the end. */
  readonly hostFailures: readonly HostSpan[];
  /** Span in which the first organisation sends `factor` times its usual load. */
  readonly burst: (TimeSpan & {readonly factor: number}) | undefined;
}

export const HOST_COUNT = 9;
/** Duration of a replay, in seconds. */
export const REPLAY_SECONDS = 58;

const ALL_HOSTS = Array.from({length: HOST_COUNT}, (_unused, host) => host);
const FIRST_DATA_CENTER = [0, 1, 2];

const NO_FAULTS: Omit<ReplayScenario, 'name'> = {
  storeOutages: [],
  dataCenterPartitions: [],
  hostFailures: [],
  burst: undefined,
};

const TWO_STORE_OUTAGES: readonly HostSpan[] = [
  {hosts: ALL_HOSTS, from: 5.6, to: 13.9},
  {hosts: ALL_HOSTS, from: 24, to: 32.6},
];
const POWER_LOSS: HostSpan = {hosts: ALL_HOSTS, from: 41.4, to: 42.4};

/** Scenarios modelled on days of the users' deployments. */
export const REPLAY_SCENARIOS: readonly ReplayScenario[] = [
  {...NO_FAULTS, name: 'calm'},
  {...NO_FAULTS, name: 'two-cuts', storeOutages: TWO_STORE_OUTAGES},
  {
    ...NO_FAULTS,
    name: 'two-cuts-burst',
    storeOutages: TWO_STORE_OUTAGES,
    burst: {from: 15, to: 30, factor: 3},
  },
  {...NO_FAULTS, name: 'all-die', hostFailures: [POWER_LOSS]},
  {
    ...NO_FAULTS,
    name: 'cuts-and-all-die',
    storeOutages: TWO_STORE_OUTAGES,
    dataCenterPartitions: [{hosts: FIRST_DATA_CENTER, from: 33.5, to: 39}],
    hostFailures: [POWER_LOSS],
    burst: {from: 15, to: 21, factor: 2.6},
  },
  {
    ...NO_FAULTS,
    name: 'one-dies-early',
    storeOutages: TWO_STORE_OUTAGES,
    hostFailures: [{hosts: [8], from: 4, to: 7}],
  },
];

/** Ten organisations: a few are large, and the callers of some use a single host. */
export const REPLAY_ORGANISATIONS: readonly ReplayOrganisation[] = [
  {name: 'o0', requestsPerSecond: 8, budgetFactor: 1, host: 4},
  {name: 'o1', requestsPerSecond: 7, budgetFactor: 1.3, host: 1},
  {name: 'o2', requestsPerSecond: 6, budgetFactor: 1, host: undefined},
  {name: 'o3', requestsPerSecond: 4, budgetFactor: 1.6, host: undefined},
  {name: 'o4', requestsPerSecond: 3, budgetFactor: 1.1, host: 7},
  {name: 'o5', requestsPerSecond: 3, budgetFactor: 1.3, host: undefined},
  {name: 'o6', requestsPerSecond: 2, budgetFactor: 0.9, host: undefined},
  {name: 'o7', requestsPerSecond: 2, budgetFactor: 1.3, host: undefined},
  {name: 'o8', requestsPerSecond: 1, budgetFactor: 1.1, host: undefined},
  {name: 'o9', requestsPerSecond: 1, budgetFactor: 1.6, host: undefined},
];

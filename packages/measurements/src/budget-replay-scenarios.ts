/** A span of time, seconds from the start; the end is not part of it. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** Hosts that lose something for a time. */
export interface HostSpan extends Span {
  /** By their numbers from 0. */
  readonly hosts: readonly number[];
}

/** One organisation's callers. */
export interface ReplayOrganisation {
  readonly name: string;
  readonly requestsPerSecond: number;
  /** The budget, as a multiple of what its callers would use in all. */
  readonly budgetFactor: number;
  /** The host that all its callers come to; undefined where they come to all. */
  readonly host: number | undefined;
}

/** What happens while callers come. */
export interface ReplayScenario {
  readonly name: string;
  /** Hosts that do not reach the store. */
  readonly storeCuts: readonly HostSpan[];
  /** Hosts that reach neither the store nor hosts outside their group. */
  readonly dataCenterCuts: readonly HostSpan[];
  /** Hosts whose process is dead; a new one opens at the end. */
  readonly deaths: readonly HostSpan[];
  /** The first organisation sends so many times its usual. */
  readonly burst: (Span & {readonly factor: number}) | undefined;
}

export const HOSTS = 9;
/** Length of a replay, seconds. */
export const SECONDS = 58;

const ALL = Array.from({length: HOSTS}, (_unused, host) => host);
const FIRST_DATA_CENTER = [0, 1, 2];

const QUIET: Omit<ReplayScenario, 'name'> = {
  storeCuts: [],
  dataCenterCuts: [],
  deaths: [],
  burst: undefined,
};

const TWO_CUTS: readonly HostSpan[] = [
  {hosts: ALL, from: 5.6, to: 13.9},
  {hosts: ALL, from: 24, to: 32.6},
];
const LAST_LOSS: HostSpan = {hosts: ALL, from: 41.4, to: 42.4};

/** Days of the users' deployments, with what they have in common. */
export const REPLAY_SCENARIOS: readonly ReplayScenario[] = [
  {...QUIET, name: 'calm'},
  {...QUIET, name: 'two-cuts', storeCuts: TWO_CUTS},
  {
    ...QUIET,
    name: 'two-cuts-burst',
    storeCuts: TWO_CUTS,
    burst: {from: 15, to: 30, factor: 3},
  },
  {...QUIET, name: 'all-die', deaths: [LAST_LOSS]},
  {
    ...QUIET,
    name: 'cuts-and-all-die',
    storeCuts: TWO_CUTS,
    dataCenterCuts: [{hosts: FIRST_DATA_CENTER, from: 33.5, to: 39}],
    deaths: [LAST_LOSS],
    burst: {from: 15, to: 21, factor: 2.6},
  },
  {
    ...QUIET,
    name: 'one-dies-early',
    storeCuts: TWO_CUTS,
    deaths: [{hosts: [8], from: 4, to: 7}],
  },
];

/** Ten organisations, a few of them large, some with callers at one host. */
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

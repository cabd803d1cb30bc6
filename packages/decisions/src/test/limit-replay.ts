import {
  LimitAdmission,
  type HostPlace,
  type HostTime,
  type RequestLimit,
} from '../endpoint-statements/index.js';
import {createFraction} from './placement-replay.js';

const SECONDS = 40;
export const SPAN_SECONDS = 4;
/** Differences between the clocks of hosts, milliseconds. */
const CLOCK_MILLISECONDS = 200;

/** What happens to hosts midway. */
export enum LimitTrouble {
  None = 'none',
  /** Half of them end, and the others learn of it. */
  HalfEnd = 'half end',
  /** Half as many are added, and all learn of them. */
  HalfAdded = 'half added',
  /** The time of day steps at a third of them. */
  ClockSteps = 'clock steps',
  /** Nothing is sent before, and then many requests come at once. */
  Burst = 'burst',
}

/** Requests of a fleet for endpoints that name a limit. */
export interface LimitScenario {
  readonly hosts: number;
  readonly endpoints: number;
  readonly requestsPerSecond: number;
  readonly trouble: LimitTrouble;
  /** Requests of all hosts, in times what the endpoints take. */
  readonly load: number;
  readonly seed: number;
  readonly createAdmission: () => LimitAdmission;
}

/** Result of a replay. */
export interface LimitOutcome {
  /** Most requests that an endpoint got in 4 s. */
  readonly mostInSpan: number;
  /** Requests at the endpoints, as a share of the limit or of the load if that is less. */
  readonly used: number;
}

/** Each host uses the whole limit. */
export class WholeLimit extends LimitAdmission {
  private readonly sentAt = new Map<string, number>();

  override mayAdmit(
    {id, requestsPerSecond}: RequestLimit,
    _place: HostPlace,
    {monotonic}: HostTime,
  ): boolean {
    const last = this.sentAt.get(id) ?? -Infinity;
    return monotonic - last >= 1_000 / requestsPerSecond;
  }

  override admitted(
    {id}: RequestLimit,
    _place: HostPlace,
    {monotonic}: HostTime,
  ): void {
    this.sentAt.set(id, monotonic);
  }
}

/** Gives each host an equal part of the limit, and one request at once. */
export class LimitBuckets extends WholeLimit {
  override mayAdmit(
    {id, requestsPerSecond}: RequestLimit,
    place: HostPlace,
    time: HostTime,
  ): boolean {
    const part = requestsPerSecond / place.hosts;
    return super.mayAdmit({id, requestsPerSecond: part}, place, time);
  }
}

interface Host {
  readonly admission: LimitAdmission;
  readonly monotonicOffset: number;
  wallOffset: number;
}

/** Replays hosts that send what they may to endpoints that name a limit. */
export class LimitReplay {
  private readonly fraction: () => number;
  private readonly arrivals: number[][];
  private hosts: Host[];

  constructor(private readonly scenario: LimitScenario) {
    this.fraction = createFraction(scenario.seed);
    this.arrivals = Array.from({length: scenario.endpoints}, () => []);
    this.hosts = Array.from({length: scenario.hosts}, () => this.createHost());
  }

  run(): LimitOutcome {
    const {requestsPerSecond, endpoints, load, trouble} = this.scenario;
    const rate = requestsPerSecond * endpoints * load;
    const isBurst = trouble === LimitTrouble.Burst;
    let hasTrouble = false;
    for (let step = 0; step < SECONDS * rate; step++) {
      const now = step / rate;
      if (now > SECONDS / 2 && !hasTrouble) {
        hasTrouble = true;
        this.beginTrouble();
      }
      if (!isBurst || hasTrouble) {
        this.sendRequest(now);
      }
    }
    const sent = this.arrivals.reduce((sum, {length}) => sum + length, 0);
    const seconds = isBurst ? SECONDS / 2 : SECONDS;
    return {
      mostInSpan: Math.max(...this.arrivals.map(mostInSpan)),
      used:
        sent / (requestsPerSecond * endpoints * Math.min(1, load) * seconds),
    };
  }

  private createHost(): Host {
    return {
      admission: this.scenario.createAdmission(),
      monotonicOffset: 1e7 * this.fraction(),
      wallOffset: CLOCK_MILLISECONDS * (this.fraction() - 0.5),
    };
  }

  private beginTrouble(): void {
    const {hosts, trouble} = this.scenario;
    if (trouble === LimitTrouble.HalfEnd) {
      this.hosts = this.hosts.filter((_host, index) => index % 2 === 0);
    } else if (trouble === LimitTrouble.HalfAdded) {
      for (let count = 0; count < hosts / 2; count++) {
        this.hosts.push(this.createHost());
      }
    } else if (trouble === LimitTrouble.ClockSteps) {
      for (const host of this.hosts.filter((_host, index) => index % 3 === 0)) {
        host.wallOffset += 120_000 * (this.fraction() - 0.5);
      }
    }
  }

  private sendRequest(now: number): void {
    const rank = Math.floor(this.fraction() * this.hosts.length);
    const host = this.hosts[rank];
    if (host === undefined) {
      return;
    }
    const {admission, monotonicOffset, wallOffset} = host;
    const place = {rank, hosts: this.hosts.length};
    const time = {
      monotonic: 1_000 * now + monotonicOffset,
      timeOfDay: 1_000 * now + 1e12 + wallOffset,
    };
    const {requestsPerSecond, endpoints} = this.scenario;
    const first = Math.floor(this.fraction() * endpoints);
    for (let count = 0; count < endpoints; count++) {
      const index = (first + count) % endpoints;
      const limit = {id: `engine-${index}`, requestsPerSecond};
      if (admission.mayAdmit(limit, place, time)) {
        admission.admitted(limit, place, time);
        this.arrivals[index]?.push(now);
        return;
      }
    }
  }
}

/** Most requests that the rule allows in 4 s: 1.5 times the limit, and 5 more. */
export function maximumInSpan(requestsPerSecond: number): number {
  return 1.5 * SPAN_SECONDS * requestsPerSecond + 5;
}

function mostInSpan(arrivals: readonly number[]): number {
  let first = 0;
  return arrivals.reduce((most, at, index) => {
    while (at - (arrivals[first] ?? at) >= SPAN_SECONDS) {
      first++;
    }
    return Math.max(most, index - first + 1);
  }, 0);
}

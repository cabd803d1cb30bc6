import {LearnedRoom} from './learned-room.js';
import {
  PlaceDivision,
  type Allotment,
  type EndpointUse,
  type PlaceReport,
} from './place-division.js';

/** Hosts take turns for the places that are left after even parts, milliseconds. */
const TURN_MILLISECONDS = 250;

/** How long reports hold, milliseconds. */
export interface ReportTimes {
  /** The places that a host has handed over are divided for so long. */
  readonly handoverMilliseconds: number;
  /** A host that is no longer heard from uses what it was allotted for so long. */
  readonly useMilliseconds: number;
}

interface HeldReport {
  readonly uses: ReadonlyMap<string, EndpointUse>;
  /** Places that the host keeps, and those that it waits for. */
  readonly demand: number;
  readonly at: number;
  allotment: Allotment;
  /** Whether the host's own places are still divided. */
  isHandedOver: boolean;
}

/** Sums over all reports. */
interface EndpointSum {
  /** Hosts whose lists differ may hand over more than there are. */
  places: number;
  used: number;
  /** As of the latest report. */
  room: number;
}

/**
 * Divides places by what hosts need, max-min fair. Only places that hosts have handed
 * over are given out, so that two hosts that divide for different hosts, which do not
 * reach each other, never give a place out twice. A place is given to another host only
 * after the host that had it has reported that it no longer uses it.
 *
 * @example
 * ```ts
 * const division = new DemandDivision(() => ({
 *   handoverMilliseconds: 600,
 *   useMilliseconds: 1_200,
 * }));
 * const allotment = division.report(report, now);
 * allotment.get('engine-1'); // 2
 * ```
 */
export class DemandDivision extends PlaceDivision {
  private readonly reports = new Map<string, HeldReport>();
  private readonly sums = new Map<string, EndpointSum>();
  private readonly rooms = new Map<string, LearnedRoom>();
  private beganAt = -Infinity;
  /** Places beyond what the hosts need, as of the latest division. */
  private spare = 0;

  constructor(private readonly times: () => ReportTimes) {
    super();
  }

  override get isShort(): boolean {
    return this.spare < 0;
  }

  override get isTight(): boolean {
    return this.spare < this.reports.size;
  }

  override report(
    {host, waiting, endpoints}: PlaceReport,
    now: number,
  ): Allotment {
    this.forgetOld(now);
    if (this.reports.size === 0) {
      this.beganAt = now;
    }
    this.forget(host);
    const held: HeldReport = {
      uses: new Map(endpoints.map(use => [use.endpoint, use])),
      demand: endpoints.reduce((sum, use) => sum + use.running, waiting),
      at: now,
      allotment: new Map(),
      isHandedOver: true,
    };
    this.reports.set(host, held);
    this.addPlaces(held, 1);
    this.addUsed(held, 1);
    this.learn(endpoints, now);
    return this.divide(host, now);
  }

  override divide(host: string, now: number): Allotment {
    const held = this.reports.get(host);
    if (held === undefined) {
      return new Map();
    }
    this.addUsed(held, -1);
    const target = this.targetOf(host, held, now);
    held.allotment = this.allot(held, target, now);
    this.addUsed(held, 1);
    return held.allotment;
  }

  override hasReport(host: string, now: number): boolean {
    this.forgetOld(now);
    return this.reports.get(host)?.isHandedOver === true;
  }

  private forgetOld(now: number): void {
    const {handoverMilliseconds, useMilliseconds} = this.times();
    for (const [host, held] of this.reports) {
      const age = now - held.at;
      if (age >= useMilliseconds) {
        this.forget(host);
      } else if (age >= handoverMilliseconds && held.isHandedOver) {
        this.addPlaces(held, -1);
        held.isHandedOver = false;
      }
    }
    for (const [endpoint, {places, used}] of this.sums) {
      if (places === 0 && used === 0) {
        this.sums.delete(endpoint);
        this.rooms.delete(endpoint);
      }
    }
  }

  private forget(host: string): void {
    const held = this.reports.get(host);
    if (held === undefined) {
      return;
    }
    this.reports.delete(host);
    this.addUsed(held, -1);
    if (held.isHandedOver) {
      this.addPlaces(held, -1);
    }
  }

  private addPlaces({uses}: HeldReport, sign: 1 | -1): void {
    for (const {endpoint, ownPlaces, room} of uses.values()) {
      const sum = this.sumOf(endpoint);
      sum.places += sign * ownPlaces;
      sum.room = sign === 1 ? room : sum.room;
    }
  }

  private addUsed({uses, allotment}: HeldReport, sign: 1 | -1): void {
    for (const {endpoint, running} of uses.values()) {
      const used = Math.max(running, allotment.get(endpoint) ?? 0);
      this.sumOf(endpoint).used += sign * used;
    }
  }

  private sumOf(endpoint: string): EndpointSum {
    const sum = this.sums.get(endpoint) ?? {places: 0, used: 0, room: 0};
    this.sums.set(endpoint, sum);
    return sum;
  }

  private learn(endpoints: readonly EndpointUse[], now: number): void {
    for (const {endpoint, refusals} of endpoints) {
      if (refusals > 0) {
        const room = this.rooms.get(endpoint) ?? new LearnedRoom();
        this.rooms.set(endpoint, room);
        const running = [...this.reports.values()].reduce(
          (sum, {uses}) => sum + (uses.get(endpoint)?.running ?? 0),
          0,
        );
        room.refused(running, now);
      }
    }
  }

  private placesAt(endpoint: string, now: number): number {
    const {places = 0, room = 0} = this.sums.get(endpoint) ?? {};
    return Math.min(
      places,
      room,
      this.rooms.get(endpoint)?.placesAt(now) ?? Infinity,
    );
  }

  /** The places that a host should have. */
  private targetOf(host: string, {demand}: HeldReport, now: number): number {
    const demands = [...this.reports].map(
      ([name, held]) => [name, held.demand] as const,
    );
    const needed = demands.reduce((sum, [, each]) => sum + each, 0);
    const capacity = [...this.sums.keys()].reduce(
      (sum, endpoint) => sum + this.placesAt(endpoint, now),
      0,
    );
    this.spare = capacity - needed;
    if (this.spare >= 0) {
      return demand + Math.floor(this.spare / demands.length);
    }
    const level = evenLevel(
      demands.map(([, each]) => each),
      capacity,
    );
    const short = demands
      .filter(([, each]) => each > level)
      .map(([name]) => name)
      .sort();
    const left =
      capacity -
      demands.reduce((sum, [, each]) => sum + Math.min(each, level), 0);
    const turn = Math.floor(now / TURN_MILLISECONDS) * left;
    const index = short.indexOf(host);
    const hasTurn = index !== -1 && (index + turn) % short.length < left;
    return Math.min(demand, level) + (hasTurn ? 1 : 0);
  }

  /** Others may use places that they have not reported yet, while reports are new. */
  private isNew(now: number): boolean {
    return now - this.beganAt < this.times().handoverMilliseconds / 2;
  }

  /** Keeps places where the host's requests run, and adds others where most are free. */
  private allot({uses}: HeldReport, target: number, now: number): Allotment {
    const allotment = new Map<string, number>();
    const isNew = this.isNew(now);
    const freeAt = ({endpoint, ownPlaces, running}: EndpointUse): number => {
      const used = this.sums.get(endpoint)?.used ?? 0;
      const most = isNew ? Math.max(ownPlaces, running) : Infinity;
      const allotted = allotment.get(endpoint) ?? 0;
      return Math.min(this.placesAt(endpoint, now) - used, most) - allotted;
    };
    const all = [...uses.values()];
    for (let left = target; left > 0; left--) {
      const kept = all.filter(
        ({endpoint, running}) => running > (allotment.get(endpoint) ?? 0),
      );
      const use = mostFree(kept, freeAt) ?? mostFree(all, freeAt);
      if (use === undefined) {
        break;
      }
      allotment.set(use.endpoint, (allotment.get(use.endpoint) ?? 0) + 1);
    }
    return allotment;
  }
}

/** The endpoint with the most free places; undefined if none has one. */
function mostFree(
  uses: readonly EndpointUse[],
  freeAt: (use: EndpointUse) => number,
): EndpointUse | undefined {
  let best: EndpointUse | undefined;
  let most = 0;
  for (const use of uses) {
    const free = freeAt(use);
    if (free > most) {
      most = free;
      best = use;
    }
  }
  return best;
}

/** The largest whole part that every host can have, up to what it needs. */
function evenLevel(demands: readonly number[], capacity: number): number {
  const ascending = demands.toSorted((one, other) => one - other);
  let left = capacity;
  for (const [index, demand] of ascending.entries()) {
    const even = Math.floor(left / (ascending.length - index));
    if (demand > even) {
      return even;
    }
    left -= demand;
  }
  return Infinity;
}

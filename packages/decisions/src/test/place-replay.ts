import {
  DemandDivision,
  HostPlaces,
  ownPlaces,
  type Allotment,
} from '../endpoint-places/index.js';

const STEP_MILLISECONDS = 10;
const WORK_MILLISECONDS = 150;
const RENEWAL_MILLISECONDS = 200;
const PACE_MILLISECONDS = 20;
const HANDOVER_MILLISECONDS = 600;
const BINDING_MILLISECONDS = 1_200;
const USE_MILLISECONDS = 1_350;
/** A request that has waited for so long is refused. */
const PATIENCE_MILLISECONDS = 500;

/** How hosts come by their places. */
export enum PlaceSource {
  /** Each host sends what it has to the endpoint with the fewest of its requests. */
  None = 'none',
  /** Each host has its own places. */
  Own = 'own',
  /** Hosts hand them over to be divided. */
  Divided = 'divided',
}

/** A load, and what happens meanwhile. */
export interface PlaceReplayOptions {
  readonly source: PlaceSource;
  readonly hosts: number;
  readonly endpoints: number;
  readonly slots: number;
  /** Part of what all slots together bear. */
  readonly load: number;
  readonly seconds: number;
  readonly seed: number;
  /** Part of the requests that come to the first host. */
  readonly atFirstHost?: number;
  /** Number of the host that divides for a host at a time; 0 by default. */
  readonly dividerOf?: (host: number, now: number) => number;
  /** Whether a host stands still at a time. */
  readonly isFrozen?: (host: number, now: number) => boolean;
}

/** What came of a load. */
export interface PlaceReplayResult {
  readonly servedShare: number;
  /** Most requests at one endpoint beyond its slots. */
  readonly mostBeyondSlots: number;
  /** Mean part of the slots that were in use. */
  readonly usedShare: number;
}

/** Random numbers that a seed repeats; a linear congruential generator. */
class RandomNumbers {
  constructor(private state: number) {}

  /** From 0 to below 1. */
  fraction(): number {
    this.state = (Math.imul(this.state, 1_664_525) + 1_013_904_223) >>> 0;
    return this.state / 2 ** 32;
  }

  /** A whole number from 0 to below this. */
  below(limit: number): number {
    return Math.floor(this.fraction() * limit);
  }
}

class ReplayHost {
  readonly places = new HostPlaces();
  /** When requests arrived that wait. */
  waiting: number[] = [];
  /** When running requests end, by endpoint. */
  readonly running: number[][];
  nextReportAt = 0;
  isTight = false;

  constructor(endpoints: number) {
    this.running = Array.from({length: endpoints}, () => []);
  }
}

/** Replays requests that arrive at random at hosts which share endpoints. */
export function replayPlaces(options: PlaceReplayOptions): PlaceReplayResult {
  const {source, hosts: count, endpoints, slots, load, seconds} = options;
  const random = new RandomNumbers(options.seed);
  const hosts = Array.from({length: count}, () => new ReplayHost(endpoints));
  const dividers = new Map<number, DemandDivision>();
  const isFrozen = options.isFrozen ?? (() => false);
  const names = Array.from({length: endpoints}, (_, index) => `e${index}`);
  let [arrived, served, mostBeyondSlots, used, steps] = [0, 0, 0, 0, 0];

  const ownAt = (endpoint: number, rank: number) =>
    ownPlaces(names[endpoint] ?? '', slots, {rank, hosts: count});
  const freeAt = (host: ReplayHost, rank: number, at: number, now: number) => {
    const own = ownAt(at, rank);
    const placesThere =
      source === PlaceSource.Divided
        ? (host.places.allottedAt(names[at] ?? '', now) ?? own)
        : own;
    return placesThere - (host.running[at]?.length ?? 0);
  };
  const chooseEndpoint = (host: ReplayHost, rank: number, now: number) => {
    const ranked = names.map((_, at) => ({
      at,
      free:
        source === PlaceSource.None
          ? random.fraction() - (host.running[at]?.length ?? 0) + slots
          : freeAt(host, rank, at, now),
    }));
    const best = ranked.toSorted((one, other) => other.free - one.free)[0];
    return best !== undefined && best.free > 0 ? best.at : undefined;
  };
  const report = (host: ReplayHost, rank: number, now: number) => {
    const divider = options.dividerOf?.(rank, now) ?? 0;
    const division =
      dividers.get(divider) ??
      new DemandDivision(() => ({
        handoverMilliseconds: HANDOVER_MILLISECONDS,
        useMilliseconds: USE_MILLISECONDS,
      }));
    dividers.set(divider, division);
    const kept: Allotment = new Map(
      names.map((name, at) => [name, host.running[at]?.length ?? 0]),
    );
    host.places.handedOver(kept, now + BINDING_MILLISECONDS);
    if (isFrozen(divider, now)) {
      return;
    }
    const allotment = division.report(
      {
        host: String(rank).padStart(3, '0'),
        waiting: host.waiting.length,
        endpoints: names.map((endpoint, at) => ({
          endpoint,
          room: slots,
          ownPlaces: ownAt(at, rank),
          running: host.running[at]?.length ?? 0,
          refusals: 0,
        })),
      },
      now,
    );
    host.places.allotted(allotment);
    host.isTight = division.isTight;
  };

  const perStep =
    (load * endpoints * slots * STEP_MILLISECONDS) / WORK_MILLISECONDS;
  for (let now = 0; now < seconds * 1_000; now += STEP_MILLISECONDS) {
    for (let due = -Math.log(1 - random.fraction()); due < perStep;) {
      const isAtFirst = random.fraction() < (options.atFirstHost ?? 0);
      const host = hosts[isAtFirst ? 0 : random.below(count)];
      host?.waiting.push(now);
      arrived++;
      due -= Math.log(1 - random.fraction());
    }
    for (const [rank, host] of hosts.entries()) {
      for (const ends of host.running) {
        const ended = ends.filter(at => at <= now).length;
        served += ended;
        ends.splice(0, ends.length, ...ends.filter(at => at > now));
      }
      host.waiting = host.waiting.filter(
        at => now - at < PATIENCE_MILLISECONDS,
      );
      if (isFrozen(rank, now)) {
        continue;
      }
      const serve = () => {
        let at = chooseEndpoint(host, rank, now);
        while (host.waiting.length > 0 && at !== undefined) {
          host.waiting.shift();
          host.running[at]?.push(now + WORK_MILLISECONDS);
          at = chooseEndpoint(host, rank, now);
        }
      };
      serve();
      if (source === PlaceSource.Divided && now >= host.nextReportAt) {
        report(host, rank, now);
        serve();
        host.nextReportAt =
          now +
          (host.waiting.length > 0 || host.isTight
            ? PACE_MILLISECONDS
            : RENEWAL_MILLISECONDS);
      }
    }
    const totals = names.map((_, at) =>
      hosts.reduce((sum, {running}) => sum + (running[at]?.length ?? 0), 0),
    );
    mostBeyondSlots = Math.max(mostBeyondSlots, ...totals.map(n => n - slots));
    used += totals.reduce((sum, n) => sum + Math.min(n, slots), 0);
    steps++;
  }
  return {
    servedShare: served / arrived,
    mostBeyondSlots,
    usedShare: used / steps / (endpoints * slots),
  };
}

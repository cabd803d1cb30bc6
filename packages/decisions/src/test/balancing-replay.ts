import {
  choosePlacement,
  EndpointWork,
  PartPopularity,
  placeRequest,
  RequestWork,
  ServiceSpeed,
  type Placement,
  type PlacementCandidate,
} from '../index.js';
import {createFraction} from './placement-replay.js';

const TICK_MILLISECONDS = 5;
const CHUNK_TOKENS = 4_096;
const STEPS_PER_EVENT = 7;
const DATA_CENTERS = 3;
/** Shorter parts are read again without being counted. */
const LONG_TOKENS = 256;
/** Exponent of the random numbers that parts are drawn by; some are more frequent. */
const PART_SKEW = 1.5;
/** Requests are counted from this time on, when the hosts have learned. */
const COUNTED_FROM_MILLISECONDS = 4_000;

/** A kind of requests in a replay. */
export interface ReplayedKind {
  readonly perSecond: number;
  readonly priority: number;
  /** Number of prompt parts that requests share. */
  readonly parts: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly events: number;
  readonly goalMilliseconds: number;
}

/** Settings of a replay; times are in milliseconds. */
export interface BalancingScenario {
  readonly hosts: number;
  readonly seed: number;
  readonly engines: number;
  readonly slots: number;
  readonly cacheTokens: number;
  readonly tokensPerMillisecond: number;
  readonly stepMilliseconds: number;
  readonly pauseGoalMilliseconds: number;
  readonly milliseconds: number;
  readonly kinds: readonly ReplayedKind[];
  /** Factor by which an engine is slower than usual. */
  readonly slowness: (engine: number, now: number) => number;
  /** Factor on the usual rate of requests. */
  readonly load: (now: number, kind: ReplayedKind) => number;
  /** Time to fetch a token from another engine; undefined if engines can't. */
  readonly fetchMillisecondsPerToken: number | undefined;
}

/** One request in a replay. */
export class ReplayedRun {
  work: RequestWork | undefined;
  engine: ReplayedEngine | undefined;
  firstAt = Infinity;
  longestPause = 0;
  tokensLeft = 0;
  readyAt = 0;
  steps = 0;
  private lastAt = 0;

  constructor(
    readonly kind: ReplayedKind,
    readonly part: string,
    readonly sentAt: number,
    readonly host: ReplayedHost,
  ) {}

  get hasEnded(): boolean {
    return this.steps >= this.kind.events * STEPS_PER_EVENT;
  }

  /** @returns Whether it has ended. */
  step(now: number): boolean {
    this.steps++;
    if (this.steps % STEPS_PER_EVENT === 0) {
      this.longestPause = Math.max(
        this.longestPause,
        this.firstAt === Infinity ? 0 : now - this.lastAt,
      );
      this.firstAt = Math.min(this.firstAt, now);
      this.lastAt = now;
      this.work?.began(now);
      this.work?.eventsReceived(1, now);
    }
    if (this.hasEnded) {
      this.work?.ended(now);
    }
    return this.hasEnded;
  }
}

/** An engine that reads prompts in chunks between the steps of its streams. */
export class ReplayedEngine {
  readonly id: string;
  readonly dataCenter: string;
  readonly cached = new Map<string, number>();
  private work = 0;
  private waiting: ReplayedRun[] = [];
  private running: ReplayedRun[] = [];
  private now = 0;

  constructor(
    readonly index: number,
    private readonly replay: BalancingReplay,
  ) {
    this.id = `engine-${index}`;
    this.dataCenter = `center-${index % DATA_CENTERS}`;
  }

  /** Tokens read since the last call. */
  takeWork(): number {
    const {work} = this;
    this.work = 0;
    return work;
  }

  add(run: ReplayedRun, home: ReplayedEngine | undefined): void {
    const {sharedTokens, ownTokens} = run.kind;
    const {fetchMillisecondsPerToken = 0} = this.replay.scenario;
    run.tokensLeft = ownTokens;
    run.readyAt = run.sentAt + 1;
    if (!this.cached.has(run.part)) {
      if (home?.cached.has(run.part) === true) {
        run.readyAt += sharedTokens * fetchMillisecondsPerToken;
        this.replay.fetchedTokens += sharedTokens;
      } else {
        run.tokensLeft += sharedTokens;
        this.replay.tokensReadAgain +=
          sharedTokens > LONG_TOKENS && this.replay.isCached(run.part)
            ? sharedTokens
            : 0;
      }
    }
    this.keep(run.part, sharedTokens);
    this.waiting.push(run);
    this.waiting.sort((one, other) => one.kind.priority - other.kind.priority);
  }

  keep(part: string, tokens: number): void {
    this.cached.delete(part);
    this.cached.set(part, tokens);
    let sum = 0;
    for (const size of this.cached.values()) {
      sum += size;
    }
    const [oldest] = this.cached.keys();
    if (oldest !== undefined && sum > this.replay.scenario.cacheTokens) {
      this.cached.delete(oldest);
    }
  }

  advance(until: number): void {
    while (this.now < until) {
      if (!this.iterate()) {
        this.now = until;
      }
    }
  }

  private iterate(): boolean {
    const {slots, stepMilliseconds, tokensPerMillisecond, slowness} =
      this.replay.scenario;
    let read = 0;
    const begun: ReplayedRun[] = [];
    for (const run of this.waiting) {
      if (this.running.length + begun.length >= slots || read >= CHUNK_TOKENS) {
        break;
      }
      if (run.readyAt <= this.now) {
        const part = Math.min(run.tokensLeft, CHUNK_TOKENS - read);
        run.tokensLeft -= part;
        read += part;
        if (run.tokensLeft === 0) {
          begun.push(run);
        }
      }
    }
    if (read === 0 && this.running.length === 0) {
      return false;
    }
    const factor = slowness(this.index, this.now);
    this.now += factor * (read / tokensPerMillisecond + stepMilliseconds);
    this.work += read;
    this.waiting = this.waiting.filter(run => !begun.includes(run));
    this.running.push(...begun);
    const ended = this.running.filter(run => run.step(this.now));
    for (const run of ended) {
      run.host.loads.set(this, (run.host.loads.get(this) ?? 0) - 1);
    }
    this.running = this.running.filter(run => !run.hasEnded);
    return true;
  }
}

/** A host that knows its own requests only. */
export class ReplayedHost {
  readonly loads = new Map<ReplayedEngine, number>();
  readonly works = new Map<ReplayedEngine, EndpointWork>();
  readonly speed = new ServiceSpeed();
  readonly popularity = new PartPopularity();
  readonly dataCenter: string;

  constructor(readonly index: number) {
    this.dataCenter = `center-${index % DATA_CENTERS}`;
  }
}

/** An endpoint as a host sees it. */
export interface EngineCandidate extends PlacementCandidate {
  readonly engine: ReplayedEngine;
}

/** Where a request goes. */
export interface ReplayedChoice {
  readonly engine: ReplayedEngine;
  readonly fetchFrom: ReplayedEngine | undefined;
  readonly placement: Placement<EngineCandidate> | undefined;
}

/** Chooses an engine for a request of a host. */
export type ChooseEngine = (
  run: ReplayedRun,
  candidates: readonly EngineCandidate[],
  scenario: BalancingScenario,
  fraction: number,
) => ReplayedChoice;

/** The gateway's choice. */
export const chooseByCost: ChooseEngine = (
  {kind, part, host, sentAt},
  candidates,
  {hosts, pauseGoalMilliseconds, fetchMillisecondsPerToken},
  fraction,
) => {
  const placement = choosePlacement(
    {
      sharedPart: part,
      sharedTokens: kind.sharedTokens,
      homes: host.popularity.homesOf(part, candidates.length, sentAt),
      dataCenter: host.dataCenter,
      avoided: new Set(),
      fraction,
      cost: {
        now: sentAt,
        speed: host.speed,
        dataCenter: host.dataCenter,
        goalMilliseconds: kind.goalMilliseconds,
        pauseGoalMilliseconds,
        ownTokens: kind.ownTokens,
        hosts,
      },
      fetch:
        fetchMillisecondsPerToken === undefined
          ? undefined
          : {
              milliseconds: fetchMillisecondsPerToken * kind.sharedTokens,
              heldShare: host.speed.heldShare(sentAt),
            },
    },
    candidates,
  );
  if (placement === undefined) {
    throw new Error('no engine was chosen');
  }
  return {
    engine: placement.candidate.engine,
    fetchFrom: placement.fetchFrom?.engine,
    placement,
  };
};

/** Replays requests of a fleet of hosts to engines that no host sees whole. */
export class BalancingReplay {
  /** Shared tokens that were read though another engine had them. */
  tokensReadAgain = 0;
  fetchedTokens = 0;
  readonly engines: readonly ReplayedEngine[];
  private readonly hosts: readonly ReplayedHost[];
  private readonly fraction: () => number;
  private readonly runs: ReplayedRun[] = [];
  private readonly busiest: number[] = [];

  constructor(
    readonly scenario: BalancingScenario,
    private readonly choose: ChooseEngine = chooseByCost,
  ) {
    this.fraction = createFraction(scenario.seed);
    this.engines = Array.from(
      {length: scenario.engines},
      (_unused, index) => new ReplayedEngine(index, this),
    );
    this.hosts = Array.from(
      {length: scenario.hosts},
      (_unused, index) => new ReplayedHost(index),
    );
    this.readPartsAtHomes();
  }

  run(): this {
    const {milliseconds, kinds, load} = this.scenario;
    const nextAt = new Map(kinds.map(kind => [kind, 0]));
    for (let now = 0; now < milliseconds; now += TICK_MILLISECONDS) {
      for (const engine of this.engines) {
        engine.advance(now);
      }
      for (const kind of kinds) {
        let at = nextAt.get(kind) ?? 0;
        for (; at <= now; at += this.gap(kind.perSecond * load(now, kind))) {
          this.arrive(kind, now);
        }
        nextAt.set(kind, at);
      }
      if (now % 1_000 === 0) {
        this.observe();
      }
    }
    return this;
  }

  /** Whether any engine has a part in its cache. */
  isCached(part: string): boolean {
    return this.engines.some(({cached}) => cached.has(part));
  }

  /** Share of the requests of a kind that began late. */
  lateShare(kind: ReplayedKind): number {
    return this.share(
      kind,
      ({firstAt, sentAt}) => firstAt - sentAt > kind.goalMilliseconds,
    );
  }

  /** Share of the requests of a kind whose events paused for too long. */
  pausedShare(kind: ReplayedKind): number {
    const {pauseGoalMilliseconds} = this.scenario;
    return this.share(
      kind,
      ({longestPause}) => longestPause > pauseGoalMilliseconds,
    );
  }

  /** Share of the requests of a kind that left the data centre of their host. */
  remoteShare(kind: ReplayedKind): number {
    return this.share(
      kind,
      ({engine, host}) => engine?.dataCenter !== host.dataCenter,
    );
  }

  /** Mean over the seconds of the busiest engine's work, in times the mean of all. */
  get busiestShare(): number {
    const counted = this.busiest.slice(COUNTED_FROM_MILLISECONDS / 1_000);
    return counted.reduce((sum, value) => sum + value, 0) / counted.length;
  }

  /** Share of the requests that an engine got, in times an even share, from a time on. */
  shareOf(engine: number, from: number, until: number): number {
    const sent = this.runs.filter(
      ({sentAt}) => sentAt >= from && sentAt < until,
    );
    const there = sent.filter(run => run.engine?.index === engine);
    return (there.length * this.engines.length) / sent.length;
  }

  /** The replayed day is not at its begin. */
  private readPartsAtHomes(): void {
    const candidates = this.engines.map(engine => ({
      id: engine.id,
      dataCenter: engine.dataCenter,
      slots: 1,
      load: 0,
      isAvailable: true,
    }));
    for (const {priority, parts, sharedTokens} of this.scenario.kinds) {
      for (let number = 0; number < parts; number++) {
        const sharedPart = `${priority} ${number}`;
        const request = {
          sharedPart,
          sharedTokens,
          homes: 1,
          dataCenter: '',
          avoided: new Set<string>(),
          fraction: 0,
        };
        const home = placeRequest(request, candidates);
        this.engines
          .find(({id}) => id === home?.id)
          ?.keep(sharedPart, sharedTokens);
      }
    }
  }

  private share(
    kind: ReplayedKind,
    isMeant: (run: ReplayedRun) => boolean,
  ): number {
    const counted = this.runs.filter(
      run =>
        run.kind === kind &&
        run.sentAt > COUNTED_FROM_MILLISECONDS &&
        run.sentAt < this.scenario.milliseconds - 2_000,
    );
    return counted.filter(isMeant).length / counted.length;
  }

  private gap(perSecond: number): number {
    return (-Math.log(1 - this.fraction()) * 1_000) / perSecond;
  }

  private arrive(kind: ReplayedKind, now: number): void {
    const host = this.hosts[Math.floor(this.fraction() * this.hosts.length)];
    if (host === undefined) {
      throw new Error('no host was chosen');
    }
    const number = Math.floor(this.fraction() ** PART_SKEW * kind.parts);
    const part = `${kind.priority} ${number}`;
    const run = new ReplayedRun(kind, part, now, host);
    const candidates = this.engines.map(engine => ({
      id: engine.id,
      dataCenter: engine.dataCenter,
      slots: this.scenario.slots,
      load: host.loads.get(engine) ?? 0,
      work: host.works.get(engine),
      isAvailable: true,
      engine,
    }));
    const choice = this.choose(run, candidates, this.scenario, this.fraction());
    const {engine} = choice;
    host.popularity.record(part, now);
    this.runs.push(run);
    host.loads.set(engine, (host.loads.get(engine) ?? 0) + 1);
    this.beginWork(run, choice);
    run.engine = engine;
    engine.add(run, choice.fetchFrom);
  }

  private beginWork(
    run: ReplayedRun,
    {engine, placement}: ReplayedChoice,
  ): void {
    if (placement === undefined) {
      return;
    }
    const {host, kind} = run;
    const work = host.works.get(engine) ?? new EndpointWork();
    host.works.set(engine, work);
    const {sentMilliseconds, slowness, tokens} = placement;
    run.work = new RequestWork(
      work,
      host.speed,
      {
        ...kind,
        dataCenter: engine.dataCenter,
        tokens,
        isStream: true,
        sentMilliseconds:
          sentMilliseconds +
          (0.5 + this.fraction()) *
            slowness *
            host.speed.beginMilliseconds(tokens),
      },
      run.sentAt,
    );
  }

  private observe(): void {
    const loads = this.engines.map(engine => engine.takeWork());
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    this.busiest.push(mean === 0 ? 1 : Math.max(...loads) / mean);
  }
}

import {
  AdmissionVerdict,
  type AdmissionDecision,
  type AdmissionRequest,
  type EngineAdmission,
  type SentRequest,
} from '../admission/index.js';
import {createFraction} from './placement-replay.js';

/** Engines have room for 96 requests a second. */
const ENGINES = 6;
const SERVICE_MILLISECONDS = 62.5;
const STEP_MILLISECONDS = 2.5;
const BURST_FROM_MILLISECONDS = 2_000;
const BURST_UNTIL_MILLISECONDS = 10_000;
const END_MILLISECONDS = 17_000;
const LIMIT_MILLISECONDS = 4_000;
const OTHER_ORGANISATIONS = 7;
/** Part of the requests that goes to the busy third of the hosts, beside its own. */
const BUSY_SHARE = 0.45;

const URGENT = {
  priority: 0,
  objectiveMilliseconds: 500,
  burstPerSecond: 40,
  calmPerSecond: 40,
};
const LONG = {
  priority: 1,
  objectiveMilliseconds: 1_200,
  burstPerSecond: 150,
  calmPerSecond: 30,
};

/** A burst of long requests at a fleet. */
export interface AdmissionScenario {
  readonly hosts: number;
  readonly seed: number;
  /** Engines and requests, in times those of measurement 9. */
  readonly scale?: number;
  /** Long requests, in times those of measurement 9. */
  readonly burst?: number;
  /** Whether callers that were refused come back once. */
  readonly comeBack?: boolean;
  /** Usage of the first organisation, in times that of each other one. */
  readonly heavyUsage?: number;
  /** The rule of one host. */
  readonly create: (
    fraction: () => number,
  ) => EngineAdmission<AdmissionRequest>;
}

interface ReplayedRequest extends AdmissionRequest {
  readonly arrivedAt: number;
  readonly isInBurst: boolean;
}

interface Work extends SentRequest {
  readonly request: ReplayedRequest;
  readonly host: Host;
}

interface Host {
  readonly admission: EngineAdmission<AdmissionRequest>;
  readonly loads: Map<Engine, number>;
}

interface Engine {
  queue: Work[];
  running: Work | undefined;
  freeAt: number;
}

/** Requests that arrived in the burst. */
interface BurstOutcome {
  arrived: number;
  inTime: number;
  late: number;
  refused: number;
  /** Had neither an answer nor a refusal within a quarter of the objective. */
  held: number;
}

const NOTHING = {arrived: 0, inTime: 0, late: 0, refused: 0, held: 0};

/**
 * Replays measurement 9: engines that run urgent requests first get more long ones
 * than they can begin in time, from hosts that know only their own requests. A third
 * of the hosts gets several times as many requests as the others.
 */
export class AdmissionReplay {
  readonly urgent: BurstOutcome = {...NOTHING};
  readonly long: BurstOutcome = {...NOTHING};
  /** Long requests of the first organisation. */
  readonly heavy: BurstOutcome = {...NOTHING};
  private readonly fraction: () => number;
  private readonly hosts: readonly Host[];
  private readonly busyHosts: readonly Host[];
  private readonly engines: readonly Engine[];
  private returns: ReplayedRequest[] = [];

  constructor(private readonly scenario: AdmissionScenario) {
    this.fraction = createFraction(scenario.seed);
    this.hosts = Array.from({length: scenario.hosts}, () => ({
      admission: scenario.create(this.fraction),
      loads: new Map<Engine, number>(),
    }));
    this.busyHosts = this.hosts.filter((_host, index) => index % 3 === 0);
    this.engines = Array.from(
      {length: ENGINES * (scenario.scale ?? 1)},
      () => ({
        queue: [],
        running: undefined,
        freeAt: 0,
      }),
    );
  }

  run(): this {
    for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
      this.engines.forEach(engine => {
        this.work(engine, now);
      });
      this.arrive(URGENT, 1, now);
      this.arrive(LONG, this.scenario.burst ?? 1, now);
      const due = this.returns.filter(({arrivedAt}) => arrivedAt <= now);
      this.returns = this.returns.filter(({arrivedAt}) => arrivedAt > now);
      due.forEach(request => {
        this.offer(request, now);
      });
      for (const host of this.hosts) {
        for (const {request, decision} of host.admission.advance(now)) {
          this.decided(host, request as ReplayedRequest, decision, now);
        }
      }
    }
    return this;
  }

  private arrive(kind: typeof URGENT, burst: number, now: number): void {
    const isInBurst =
      now >= BURST_FROM_MILLISECONDS && now < BURST_UNTIL_MILLISECONDS;
    const rate = isInBurst ? kind.burstPerSecond * burst : kind.calmPerSecond;
    const {scale = 1} = this.scenario;
    let count = (rate * scale * STEP_MILLISECONDS) / 1_000;
    for (; this.fraction() < count; count--) {
      this.offer(this.createRequest(kind, isInBurst, now), now);
    }
  }

  private createRequest(
    kind: typeof URGENT,
    isInBurst: boolean,
    now: number,
  ): ReplayedRequest {
    const heavyUsage = this.scenario.heavyUsage ?? 1;
    const draw = this.fraction() * (OTHER_ORGANISATIONS + heavyUsage);
    const {priority, objectiveMilliseconds} = kind;
    const request = {
      priority,
      objectiveMilliseconds,
      isMostUrgent: kind === URGENT,
      organisation: draw < heavyUsage ? 'heavy' : `${Math.floor(draw)}`,
      weight: 1,
      arrivedAt: now,
      isInBurst,
      dueAt: now + objectiveMilliseconds,
      deadlineAt: now + LIMIT_MILLISECONDS,
      isReturning: false,
    };
    this.count(request, 'arrived');
    return request;
  }

  private offer(request: ReplayedRequest, now: number): void {
    const isBusy = this.fraction() < BUSY_SHARE;
    const host = this.choose(isBusy ? this.busyHosts : this.hosts);
    const decision = host.admission.offer(request, now);
    if (decision.verdict !== AdmissionVerdict.Queue) {
      this.decided(host, request, decision, now);
    }
  }

  private decided(
    host: Host,
    request: ReplayedRequest,
    {verdict, retryAfterMilliseconds}: AdmissionDecision,
    now: number,
  ): void {
    const {priority, objectiveMilliseconds, arrivedAt, isReturning} = request;
    if (verdict === AdmissionVerdict.Send) {
      const sent = {priority, objectiveMilliseconds, sentAt: now};
      const work = {...sent, request, host};
      host.admission.sent(work);
      const engine = this.chooseEngine(host);
      host.loads.set(engine, (host.loads.get(engine) ?? 0) + 1);
      engine.queue.push(work);
    } else if (this.scenario.comeBack === true && !isReturning) {
      const at = now + retryAfterMilliseconds;
      const dueAt = at + objectiveMilliseconds;
      this.returns.push({...request, arrivedAt: at, dueAt, isReturning: true});
    } else {
      const isHeld = now - arrivedAt > objectiveMilliseconds / 4;
      this.count(request, isHeld ? 'held' : 'refused');
    }
  }

  private chooseEngine({loads}: Host): Engine {
    const loadOf = (engine: Engine) => loads.get(engine) ?? 0;
    const least = Math.min(...this.engines.map(loadOf));
    return this.choose(this.engines.filter(engine => loadOf(engine) === least));
  }

  private choose<Element>(elements: readonly Element[]): Element {
    const element = elements[Math.floor(this.fraction() * elements.length)];
    if (element === undefined) {
      throw new RangeError('nothing to choose from');
    }
    return element;
  }

  private work(engine: Engine, now: number): void {
    for (const work of engine.queue) {
      if (work.request.deadlineAt <= now) {
        this.count(work.request, 'held');
        leave(engine, work);
      }
    }
    engine.queue = engine.queue.filter(({request}) => request.deadlineAt > now);
    if (engine.freeAt > now) {
      return;
    }
    const {running} = engine;
    if (running !== undefined) {
      running.host.admission.began(running, now);
      leave(engine, running);
      const {request} = running;
      this.count(request, now > request.dueAt ? 'late' : 'inTime');
    }
    engine.queue.sort((one, other) => one.priority - other.priority);
    engine.running = engine.queue.shift();
    engine.freeAt =
      engine.running === undefined ? now : now + SERVICE_MILLISECONDS;
  }

  private count(request: ReplayedRequest, result: keyof BurstOutcome): void {
    const {priority, organisation, isInBurst} = request;
    if (isInBurst) {
      const isLong = priority === LONG.priority;
      (isLong ? this.long : this.urgent)[result]++;
      this.heavy[result] += isLong && organisation === 'heavy' ? 1 : 0;
    }
  }
}

function leave(engine: Engine, work: Work): void {
  const {loads, admission} = work.host;
  loads.set(engine, (loads.get(engine) ?? 0) - 1);
  admission.ended(work);
}

import {
  choosePlacement,
  EndpointWork,
  RequestWork,
  ServiceSpeed,
  StatedRest,
} from '../index.js';
import {createFraction} from './placement-replay.js';

const DATA_CENTER = 'center-0';
const ENDPOINTS = 4;
const REQUESTS_PER_SECOND = 60;
const REQUEST = {
  dataCenter: DATA_CENTER,
  ownTokens: 100,
  sharedTokens: 0,
};
const COST = {
  ...REQUEST,
  goalMilliseconds: 500,
  pauseGoalMilliseconds: 250,
};
const ANSWER_MILLISECONDS = 2;
const STREAM_MILLISECONDS = 75;
const REFUSAL_MILLISECONDS = 6;
const CONNECT_MILLISECONDS = 50;
const REST_MILLISECONDS = 2_000;

/** Settings of a replay. */
export interface RestScenario {
  readonly hosts: number;
  readonly seed: number;
  /** Until then the first endpoint refuses requests and asks for rest, milliseconds. */
  readonly refusesUntil?: number;
  /** When the first endpoint joins, milliseconds; at the begin by default. */
  readonly joinsAt?: number;
}

/** An endpoint as a host sees it. */
class SeenEndpoint {
  load = 0;
  readonly work = new EndpointWork();
  readonly rest = new StatedRest();
  readonly isAvailable = true;
  readonly slots = 50;
  readonly dataCenter = DATA_CENTER;

  constructor(readonly index: number) {}

  get id(): string {
    return `endpoint-${this.index}`;
  }
}

/** A host that knows its own requests only. */
class RestingHost {
  readonly speed = new ServiceSpeed();
  readonly endpoints = Array.from(
    {length: ENDPOINTS},
    (_unused, index) => new SeenEndpoint(index),
  );
}

/**
 * Replays hosts whose requests an endpoint refuses for a time, asking for rest, and what
 * they send it after that. A host's first request after a rest waits for a connection.
 */
export class RestReplay {
  private readonly arrivals: {at: number; endpoint: number}[] = [];
  private readonly fraction: () => number;
  private due: {at: number; run: () => void}[] = [];
  private readonly hosts: readonly RestingHost[];
  private now = 0;

  constructor(private readonly scenario: RestScenario) {
    this.fraction = createFraction(scenario.seed);
    this.hosts = Array.from({length: scenario.hosts}, () => new RestingHost());
  }

  run(milliseconds: number): this {
    const gap = 1_000 / REQUESTS_PER_SECOND;
    for (let count = 0; gap * count < milliseconds; count++) {
      this.advance(gap * count);
      const host = this.hosts[count % this.hosts.length];
      if (host !== undefined) {
        this.send(host);
      }
    }
    return this;
  }

  /** Requests that the first endpoint got, in times an even share. */
  shareOfFirst(from: number, until: number): number {
    const sent = this.arrivals.filter(({at}) => at >= from && at < until);
    const there = sent.filter(({endpoint}) => endpoint === 0);
    return (ENDPOINTS * there.length) / sent.length;
  }

  private advance(until: number): void {
    const isDue = ({at}: {at: number}) => at <= until;
    while (this.due.some(isDue)) {
      const next = this.due.reduce((one, two) => (two.at < one.at ? two : one));
      this.due = this.due.filter(other => other !== next);
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  /** Answers take up to half as long again. */
  private after(milliseconds: number, run: () => void): void {
    const at = this.now + milliseconds * (1 + this.fraction() / 2);
    this.due.push({at, run});
  }

  private send(host: RestingHost): void {
    const {now} = this;
    const {refusesUntil = 0, joinsAt = 0} = this.scenario;
    const placement = choosePlacement(
      {
        sharedPart: undefined,
        sharedTokens: 0,
        homes: 1,
        dataCenter: DATA_CENTER,
        avoided: new Set(),
        fraction: this.fraction(),
        cost: {...COST, now, speed: host.speed, hosts: this.hosts.length},
      },
      host.endpoints.filter(
        ({index, rest}) => rest.mayTake(now) && (index > 0 || now >= joinsAt),
      ),
    );
    if (placement === undefined) {
      throw new Error('no endpoint was chosen');
    }
    const {candidate, sentMilliseconds, slowness, tokens} = placement;
    const {index, rest} = candidate;
    this.arrivals.push({at: now, endpoint: index});
    const turn = 0.5 + this.fraction();
    const work = new RequestWork(
      candidate.work,
      host.speed,
      {
        ...REQUEST,
        tokens,
        isStream: true,
        isTrial: rest.isOnTrial,
        sentMilliseconds:
          sentMilliseconds +
          turn * slowness * host.speed.beginMilliseconds(tokens),
      },
      now,
    );
    rest.requestSent(now);
    candidate.load++;
    if (index === 0 && now < refusesUntil) {
      this.after(REFUSAL_MILLISECONDS, () => {
        this.refuse(host, candidate, work);
      });
    } else {
      this.after(
        ANSWER_MILLISECONDS + (rest.isOnTrial ? CONNECT_MILLISECONDS : 0),
        () => {
          this.answer(candidate, work, now);
        },
      );
    }
  }

  private refuse(
    host: RestingHost,
    endpoint: SeenEndpoint,
    work: RequestWork,
  ): void {
    endpoint.rest.asked(REST_MILLISECONDS, this.now);
    endpoint.work.forgetSpeed();
    work.notRun();
    endpoint.load--;
    this.send(host);
  }

  private answer(
    endpoint: SeenEndpoint,
    work: RequestWork,
    sentAt: number,
  ): void {
    endpoint.rest.answered(sentAt);
    work.began(this.now);
    this.after(STREAM_MILLISECONDS, () => {
      work.ended(this.now);
      endpoint.load--;
    });
  }
}

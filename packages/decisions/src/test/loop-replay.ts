import type {ArrivalAdmission, ArrivedRequest, LoopLoad} from '../index.js';

/** What one step of a request takes of the processor, milliseconds. */
export interface StepCosts {
  /** A turn of the loop, whatever is done in it. */
  readonly turn: number;
  /** Taking a new connection. */
  readonly connect: number;
  /** Reading a request. */
  readonly read: number;
  readonly refuse: number;
  /** From its beginning until it is sent to an endpoint. */
  readonly begin: number;
  /** Passing its answer on. */
  readonly answer: number;
}

/** Callers and endpoints around a host. */
export interface LoadPattern {
  readonly costs: StepCosts;
  /** New callers, by the time in milliseconds. */
  readonly requestsPerSecond: (at: number) => number;
  /** A caller whose request is not read by then leaves, and tries again. */
  readonly patienceMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** A caller whose answer has not begun by then from its first try gives up. */
  readonly limitMilliseconds: number;
  readonly endpointMilliseconds: number;
  /** Tries of a caller; all after the first come on new connections. */
  readonly tries: number;
  /** One caller in so many comes on a new connection. */
  readonly newConnectionEvery: number;
  /** New connections that wait to be taken; the others go unnoticed. */
  readonly backlog: number;
}

/** What became of callers whose first try was in a span of time. */
export interface ReplayResult {
  /** Callers whose answers began before they gave up, a second. */
  readonly servedPerSecond: number;
  readonly refusals: number;
  /** From a request's being read to its refusal, milliseconds. */
  readonly longestHeld: number;
}

interface Attempt extends ArrivedRequest {
  readonly sentAt: number;
  readonly firstAt: number;
  readonly triesLeft: number;
}

interface Answer {
  readonly attempt: Attempt;
  readonly readyAt: number;
}

const LAST_ANSWERS_MILLISECONDS = 3_000;

/**
 * One event loop on a clock of its own: a connection is taken in each turn, and what
 * became ready while a turn ran is worked on in the next. The host sees when it read a
 * request, not when the caller sent it.
 */
export class LoopReplay {
  private now = 0;
  private busyFrom = 0;
  private unhiddenAt = 0;
  private nextCaller = 0;
  private callers = 0;
  private connecting: Attempt[] = [];
  private kept: Attempt[] = [];
  private later: Attempt[] = [];
  private waiting: Attempt[] = [];
  private answers: Answer[] = [];
  private readonly held: {readonly firstAt: number; readonly took: number}[] =
    [];
  private readonly answered: {readonly firstAt: number}[] = [];

  constructor(
    private readonly admission: ArrivalAdmission,
    private readonly pattern: LoadPattern,
  ) {}

  /** Tells of callers that came in a span; plays on until they have their answers. */
  play(from: number, until: number): ReplayResult {
    while (this.now < until + LAST_ANSWERS_MILLISECONDS) {
      this.turn();
    }
    const isCounted = ({firstAt}: {readonly firstAt: number}) =>
      firstAt >= from && firstAt < until;
    const seconds = (until - from) / 1_000;
    const answered = this.answered.filter(isCounted);
    const held = this.held.filter(isCounted);
    return {
      servedPerSecond: answered.length / seconds,
      refusals: held.length,
      longestHeld: Math.max(0, ...held.map(({took}) => took)),
    };
  }

  private turn(): void {
    const startedAt = this.now;
    this.bringCallers();
    const ready = this.answers.filter(({readyAt}) => readyAt <= startedAt);
    const connected = this.connecting.shift();
    const kept = this.kept.splice(0);
    if (connected === undefined) {
      this.unhiddenAt = startedAt;
      if (kept.length + ready.length + this.waiting.length === 0) {
        this.pause();
        return;
      }
    }
    this.now += this.pattern.costs.turn;
    this.passOn(ready);
    for (const attempt of kept) {
      this.read(attempt, attempt.sentAt);
    }
    if (connected !== undefined) {
      this.now += this.pattern.costs.connect;
      // It came some time since a turn without a connection.
      const hidden = Math.min(
        startedAt - this.unhiddenAt,
        connected.objectiveMilliseconds,
      );
      this.read(connected, this.now - hidden / 2);
    }
    this.decide();
  }

  /** The loop waits for whatever comes next. */
  private pause(): void {
    const next = Math.min(
      this.nextCaller,
      ...this.later.map(({sentAt}) => sentAt),
      ...this.answers.map(({readyAt}) => readyAt),
    );
    this.now = Math.max(this.now, next);
    this.busyFrom = this.now;
    this.unhiddenAt = this.now;
  }

  private bringCallers(): void {
    const {requestsPerSecond, tries, newConnectionEvery} = this.pattern;
    while (this.nextCaller <= this.now) {
      const attempt = this.attempt(this.nextCaller, this.nextCaller, tries - 1);
      if (this.callers++ % newConnectionEvery === 0) {
        this.later.push(attempt);
      } else {
        this.kept.push(attempt);
      }
      this.nextCaller += 1_000 / requestsPerSecond(this.nextCaller);
    }
    const due = this.later
      .filter(({sentAt}) => sentAt <= this.now)
      .sort((left, right) => left.sentAt - right.sentAt);
    this.later = this.later.filter(({sentAt}) => sentAt > this.now);
    for (const attempt of due) {
      this.connect(attempt);
    }
  }

  private attempt(sentAt: number, firstAt: number, triesLeft: number): Attempt {
    const {objectiveMilliseconds, limitMilliseconds} = this.pattern;
    return {
      sentAt,
      firstAt,
      triesLeft,
      cameAt: sentAt,
      objectiveMilliseconds,
      limitMilliseconds: limitMilliseconds - (sentAt - firstAt),
    };
  }

  private connect(attempt: Attempt): void {
    if (this.connecting.length < this.pattern.backlog) {
      this.connecting.push(attempt);
    } else {
      this.tryAgain(
        attempt,
        attempt.sentAt + this.pattern.patienceMilliseconds,
      );
    }
  }

  private tryAgain({firstAt, triesLeft}: Attempt, at: number): void {
    if (triesLeft > 0 && at < firstAt + this.pattern.limitMilliseconds) {
      this.later.push(this.attempt(at, firstAt, triesLeft - 1));
    }
  }

  private read(taken: Attempt, knownFrom: number): void {
    this.now += this.pattern.costs.read;
    const leftAt = taken.sentAt + this.pattern.patienceMilliseconds;
    if (leftAt < this.now) {
      this.tryAgain(taken, leftAt);
    } else {
      this.waiting.push({...taken, cameAt: knownFrom});
    }
  }

  private decide(): void {
    const {costs, endpointMilliseconds} = this.pattern;
    const {begun, refused} = this.admission.plan(
      this.waiting,
      this.load(),
      this.now,
    );
    const done = new Set([...begun, ...refused.map(({request}) => request)]);
    this.waiting = this.waiting.filter(attempt => !done.has(attempt));
    for (const attempt of begun) {
      this.now += costs.begin;
      this.answers.push({attempt, readyAt: this.now + endpointMilliseconds});
    }
    for (const {request, retryAfterMilliseconds} of refused) {
      this.now += costs.refuse;
      const {firstAt, cameAt} = request;
      this.held.push({firstAt, took: this.now - cameAt});
      this.tryAgain(request, this.now + retryAfterMilliseconds);
    }
  }

  private load(): LoopLoad {
    return {
      busyMilliseconds: this.now - this.busyFrom,
      unanswered: this.answers.length,
    };
  }

  private passOn(ready: readonly Answer[]): void {
    this.answers = this.answers.filter(answer => !ready.includes(answer));
    for (const {attempt} of ready) {
      const {firstAt} = attempt;
      if (this.now > firstAt + this.pattern.limitMilliseconds) {
        continue;
      }
      this.now += this.pattern.costs.answer;
      this.admission.answered(this.load(), this.now);
      this.answered.push({firstAt});
    }
  }
}

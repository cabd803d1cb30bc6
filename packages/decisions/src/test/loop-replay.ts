import type {ArrivalAdmission, ArrivedRequest, LoopLoad} from '../index.js';

/** Processor time of the steps of a request, in milliseconds. */
export interface StepCosts {
  /** Fixed cost of a turn of the event loop. */
  readonly turn: number;
  /** Accepting a new connection. */
  readonly connect: number;
  /** Reading a request. */
  readonly read: number;
  readonly refuse: number;
  /** From starting a request until it is sent to an endpoint. */
  readonly begin: number;
  /** Relaying its answer. */
  readonly answer: number;
}

/** Behaviour of the callers and endpoints of a host. */
export interface LoadPattern {
  readonly costs: StepCosts;
  /** Rate of new callers, by the time in milliseconds. */
  readonly requestsPerSecond: (at: number) => number;
  /**
   * Time after which a caller whose request has not been read leaves and
   * retries.
   */
  readonly patienceMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /**
   * Time from the first attempt after which a caller without an answer gives
   * up.
   */
  readonly limitMilliseconds: number;
  readonly endpointMilliseconds: number;
  /** Attempts per caller; all but the first use new connections. */
  readonly attempts: number;
  /** One in this many callers uses a new connection. */
  readonly newConnectionEvery: number;
  /**
   * New connections that can wait to be accepted; further ones are dropped
   * without notifying the caller.
   */
  readonly backlog: number;
  /** Requests that are started in a turn; all that wait if not given. */
  readonly beginsPerTurn?: number;
}

/** Results for callers whose first attempt was in a given period. */
export interface ReplayResult {
  /** Callers per second whose answers started before they gave up. */
  readonly servedPerSecond: number;
  readonly refusals: number;
  /** Longest time from reading a request to its refusal, in milliseconds. */
  readonly maximumRefusalDelayMilliseconds: number;
}

interface Attempt extends ArrivedRequest {
  readonly sentAt: number;
  readonly firstAt: number;
  readonly attemptsLeft: number;
}

interface Answer {
  readonly attempt: Attempt;
  readonly readyAt: number;
}

const DRAIN_MILLISECONDS = 3_000;

/**
 * Simulates one event loop with its own clock. Each turn accepts one
 * connection, and events that become ready during a turn are handled in the
 * next. The host observes when it read a request, not when the caller sent it.
 */
export class LoopReplay {
  private now = 0;
  private busyFrom = 0;
  private lastEmptyAcceptQueueAt = 0;
  private nextCaller = 0;
  private callers = 0;
  private connecting: Attempt[] = [];
  private onIdleConnections: Attempt[] = [];
  private scheduled: Attempt[] = [];
  private waiting: Attempt[] = [];
  private answers: Answer[] = [];
  /** Delay of each refusal, in milliseconds. */
  private readonly delays: {readonly firstAt: number; readonly took: number}[] =
    [];
  private readonly answered: {readonly firstAt: number}[] = [];

  constructor(
    private readonly admission: ArrivalAdmission,
    private readonly pattern: LoadPattern,
  ) {}

  /**
   * Returns the results for callers that arrived in the period, and continues
   * until they have their answers.
   */
  run(from: number, until: number): ReplayResult {
    while (this.now < until + DRAIN_MILLISECONDS) {
      this.runTurn();
    }
    const isCounted = ({firstAt}: {readonly firstAt: number}) =>
      firstAt >= from && firstAt < until;
    const seconds = (until - from) / 1_000;
    const answered = this.answered.filter(isCounted);
    const delays = this.delays.filter(isCounted);
    return {
      servedPerSecond: answered.length / seconds,
      refusals: delays.length,
      maximumRefusalDelayMilliseconds: Math.max(
        0,
        ...delays.map(({took}) => took),
      ),
    };
  }

  private runTurn(): void {
    const startedAt = this.now;
    this.addDueCallers();
    const ready = this.answers.filter(({readyAt}) => readyAt <= startedAt);
    const connected = this.connecting.shift();
    const fromIdleConnections = this.onIdleConnections.splice(0);
    if (connected === undefined) {
      this.lastEmptyAcceptQueueAt = startedAt;
      if (
        fromIdleConnections.length + ready.length + this.waiting.length ===
        0
      ) {
        this.pause();
        return;
      }
    }
    this.now += this.pattern.costs.turn;
    this.deliverAnswers(ready);
    for (const attempt of fromIdleConnections) {
      this.read(attempt, attempt.sentAt);
    }
    if (connected !== undefined) {
      this.now += this.pattern.costs.connect;
      // It arrived at some time since the last turn without a connection.
      const unobservedMilliseconds = Math.min(
        startedAt - this.lastEmptyAcceptQueueAt,
        connected.objectiveMilliseconds,
      );
      this.read(connected, this.now - unobservedMilliseconds / 2);
    }
    this.decide();
  }

  /** Waits for the next event. */
  private pause(): void {
    const next = Math.min(
      this.nextCaller,
      ...this.scheduled.map(({sentAt}) => sentAt),
      ...this.answers.map(({readyAt}) => readyAt),
    );
    this.now = Math.max(this.now, next);
    this.busyFrom = this.now;
    this.lastEmptyAcceptQueueAt = this.now;
  }

  private addDueCallers(): void {
    const {requestsPerSecond, attempts, newConnectionEvery} = this.pattern;
    while (this.nextCaller <= this.now) {
      const attempt = this.attempt(
        this.nextCaller,
        this.nextCaller,
        attempts - 1,
      );
      if (this.callers++ % newConnectionEvery === 0) {
        this.scheduled.push(attempt);
      } else {
        this.onIdleConnections.push(attempt);
      }
      this.nextCaller += 1_000 / requestsPerSecond(this.nextCaller);
    }
    const due = this.scheduled
      .filter(({sentAt}) => sentAt <= this.now)
      .sort((left, right) => left.sentAt - right.sentAt);
    this.scheduled = this.scheduled.filter(({sentAt}) => sentAt > this.now);
    for (const attempt of due) {
      this.connect(attempt);
    }
  }

  private attempt(
    sentAt: number,
    firstAt: number,
    attemptsLeft: number,
  ): Attempt {
    const {objectiveMilliseconds, limitMilliseconds} = this.pattern;
    return {
      sentAt,
      firstAt,
      attemptsLeft,
      receivedAt: sentAt,
      objectiveMilliseconds,
      limitMilliseconds: limitMilliseconds - (sentAt - firstAt),
    };
  }

  private connect(attempt: Attempt): void {
    if (this.connecting.length < this.pattern.backlog) {
      this.connecting.push(attempt);
    } else {
      this.retry(attempt, attempt.sentAt + this.pattern.patienceMilliseconds);
    }
  }

  private retry({firstAt, attemptsLeft}: Attempt, at: number): void {
    if (attemptsLeft > 0 && at < firstAt + this.pattern.limitMilliseconds) {
      this.scheduled.push(this.attempt(at, firstAt, attemptsLeft - 1));
    }
  }

  private read(attempt: Attempt, estimatedSentAt: number): void {
    this.now += this.pattern.costs.read;
    const leftAt = attempt.sentAt + this.pattern.patienceMilliseconds;
    if (leftAt < this.now) {
      this.retry(attempt, leftAt);
    } else {
      this.waiting.push({...attempt, receivedAt: estimatedSentAt});
    }
  }

  private decide(): void {
    const {costs, endpointMilliseconds} = this.pattern;
    const plan = this.admission.plan(this.waiting, this.load(), this.now);
    const {refused} = plan;
    const begun = plan.begun.slice(0, this.pattern.beginsPerTurn);
    const done = new Set([...begun, ...refused.map(({request}) => request)]);
    this.waiting = this.waiting.filter(attempt => !done.has(attempt));
    for (const attempt of begun) {
      this.now += costs.begin;
      this.answers.push({attempt, readyAt: this.now + endpointMilliseconds});
    }
    for (const {request, retryAfterMilliseconds} of refused) {
      this.now += costs.refuse;
      const {firstAt, receivedAt} = request;
      this.delays.push({firstAt, took: this.now - receivedAt});
      this.retry(request, this.now + retryAfterMilliseconds);
    }
  }

  private load(): LoopLoad {
    return {
      busyMilliseconds: this.now - this.busyFrom,
      unansweredRequests: this.answers.length,
    };
  }

  private deliverAnswers(ready: readonly Answer[]): void {
    this.answers = this.answers.filter(answer => !ready.includes(answer));
    for (const {attempt} of ready) {
      const {firstAt} = attempt;
      if (this.now > firstAt + this.pattern.limitMilliseconds) {
        continue;
      }
      this.now += this.pattern.costs.answer;
      this.admission.recordAnswerStart(this.load(), this.now);
      this.answered.push({firstAt});
    }
  }
}

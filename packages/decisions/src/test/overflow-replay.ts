import {BeginWithinLimit, CallerOverflow} from '../index.js';

/** Processor time on a small host, milliseconds. */
const SERVE_COST = 30;
const REFUSE_COST = 6;
const ENDPOINT_MILLISECONDS = 60;
const CONNECT_MILLISECONDS = 6;
const STEP_MILLISECONDS = 1;

/** Callers whose connections all go to one host of a data centre, and their rate. */
export interface HashedCallers {
  readonly host: number;
  readonly perSecond: number;
  readonly objectiveMilliseconds: number;
}

/** Results for callers whose first attempt was in the replayed time. */
export interface OverflowResult {
  readonly inTime: number;
  readonly refusedTwice: number;
  readonly callers: number;
}

interface Attempt {
  readonly firstAt: number;
  readonly receivedAt: number;
  readonly objectiveMilliseconds: number;
  readonly limitMilliseconds: number;
  readonly isReturning: boolean;
}

interface Job {
  readonly attempt: Attempt;
  readonly retryAfterMilliseconds: number | undefined;
  left: number;
}

const LIMIT_OBJECTIVES = 4;

/** One host's event loop: it reads what has arrived once its earlier work is done. */
class Loop {
  readonly unread: Attempt[] = [];
  readonly jobs: Job[] = [];
  private readonly overflow: CallerOverflow;
  private readonly admission: BeginWithinLimit;
  private busySince = 0;
  private waitingForEndpoints = 0;

  constructor(isOverflowing: boolean, fraction: () => number) {
    this.overflow = new CallerOverflow(fraction, () => isOverflowing);
    this.admission = new BeginWithinLimit(this.overflow);
  }

  /** @returns The job that has ended, if any. */
  step(now: number): Job | undefined {
    const [current] = this.jobs;
    if (current === undefined) {
      if (this.unread.length === 0) {
        this.busySince = now;
      }
      this.read(now);
      return undefined;
    }
    current.left -= STEP_MILLISECONDS;
    return current.left > 0 ? undefined : this.jobs.shift();
  }

  sentToEndpoint(): void {
    this.waitingForEndpoints++;
  }

  answered(now: number): void {
    this.waitingForEndpoints--;
    this.admission.recordAnswerStart(this.load(now), now);
  }

  private read(now: number): void {
    const arrived = this.unread.splice(0);
    for (const {isReturning} of arrived) {
      this.overflow.recordArrival(isReturning, now);
    }
    const {begun, refused} = this.admission.plan(arrived, this.load(now), now);
    for (const {request, retryAfterMilliseconds} of refused) {
      this.jobs.push({
        attempt: request,
        retryAfterMilliseconds,
        left: REFUSE_COST,
      });
    }
    for (const attempt of begun) {
      this.jobs.push({
        attempt,
        retryAfterMilliseconds: undefined,
        left: SERVE_COST,
      });
    }
  }

  private load(now: number): {
    busyMilliseconds: number;
    unansweredRequests: number;
  } {
    return {
      busyMilliseconds: now - this.busySince,
      unansweredRequests: this.waitingForEndpoints + this.jobs.length,
    };
  }
}

/** Replays hashed callers at the hosts of a data centre; retries go to other hosts. */
export function replayOverflow(
  hosts: number,
  callers: readonly HashedCallers[],
  isOverflowing: boolean,
  seconds: number,
  fraction: () => number,
): OverflowResult {
  const loops = Array.from(
    {length: hosts},
    () => new Loop(isOverflowing, fraction),
  );
  const later: {readonly at: number; readonly run: (now: number) => void}[] =
    [];
  const result = {inTime: 0, refusedTwice: 0, callers: 0};
  const arrive = (host: number, attempt: Attempt) => {
    loops[host]?.unread.push(attempt);
  };
  const ended = (
    host: number,
    {attempt, retryAfterMilliseconds}: Job,
    now: number,
  ) => {
    const loop = loops[host];
    if (retryAfterMilliseconds === undefined) {
      loop?.sentToEndpoint();
      later.push({
        at: now + ENDPOINT_MILLISECONDS,
        run: at => {
          loop?.answered(at);
          const {firstAt, objectiveMilliseconds} = attempt;
          result.inTime += at - firstAt <= objectiveMilliseconds ? 1 : 0;
        },
      });
    } else if (attempt.isReturning) {
      result.refusedTwice++;
    } else {
      const other = (host + 1 + Math.floor(fraction() * (hosts - 1))) % hosts;
      later.push({
        at: now + retryAfterMilliseconds + CONNECT_MILLISECONDS,
        run: at => {
          arrive(other, {...attempt, receivedAt: at, isReturning: true});
        },
      });
    }
  };
  for (let now = 0; now < seconds * 1_000; now += STEP_MILLISECONDS) {
    for (const {host, perSecond, objectiveMilliseconds} of callers) {
      if (fraction() < perSecond / 1_000) {
        result.callers++;
        arrive(host, {
          firstAt: now,
          receivedAt: now,
          objectiveMilliseconds,
          limitMilliseconds: LIMIT_OBJECTIVES * objectiveMilliseconds,
          isReturning: false,
        });
      }
    }
    const due = later.filter(({at}) => at <= now);
    for (const event of due) {
      later.splice(later.indexOf(event), 1);
      event.run(now);
    }
    loops.forEach((loop, host) => {
      const job = loop.step(now);
      if (job !== undefined) {
        ended(host, job, now);
      }
    });
  }
  return result;
}

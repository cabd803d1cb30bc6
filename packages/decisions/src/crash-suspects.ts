/**
 * An endpoint that ended, and what the requests that it had just begun to run are
 * suspected by.
 */
export interface EndpointCrash {
  /** Identifier of the endpoint's incarnation. */
  readonly endpoint: string;
  /** Monotonic clock, milliseconds. */
  readonly at: number;
  /** Digests of the requests, and the parts that their prompts share with others. */
  readonly subjects: readonly string[];
}

const PART_PREFIX = 'part:';

/**
 * The subject of a prompt's part; digests of requests are subjects as they are.
 *
 * @example
 * ```ts
 * const subjects = [digest, partSubject('5c1e07a2')];
 * ```
 */
export function partSubject(id: string): string {
  return `${PART_PREFIX}${id.toLowerCase()}`;
}

function isPart(subject: string): boolean {
  return subject.startsWith(PART_PREFIX);
}

/** Something that happened to one subject. */
export interface SubjectEvent {
  /** Digest of a request, or a shared part of prompts. */
  readonly subject: string;
  /** Monotonic clock, milliseconds. */
  readonly at: number;
}

/** What a host knows of suspected subjects. */
export interface SuspectKnowledge {
  readonly crashes: readonly EndpointCrash[];
  /** Tries of requests that can have caused two crashes or more. */
  readonly tries: readonly SubjectEvent[];
  /** When an endpoint last began an answer that cleared its subjects. */
  readonly successes: readonly SubjectEvent[];
}

/** What to do with a request that arrives. */
export enum SuspectVerdict {
  /** The request is run like any other. */
  Serve = 'serve',
  /** The request may be sent to one endpoint, as a try of the whole fleet. */
  Try = 'try',
  /** The request is refused without having run. */
  Refuse = 'refuse',
}

/** A verdict, its reason, and when the next try is due. */
export interface SuspectDecision {
  readonly verdict: SuspectVerdict;
  /** Time until a refused request may be tried, milliseconds; otherwise 0. */
  readonly waitMilliseconds: number;
  /** The subjects for which the request is suspected, in alphabetical order. */
  readonly suspects: readonly string[];
  /** Endpoints whose crashes the request can have caused. */
  readonly endpoints: readonly string[];
}

/** Crashed endpoints from which on a request runs only as a try of the whole fleet. */
const SUSPECT_CRASHES = 2;
/** The same for a part that was answered before. */
const ANSWERED_PART_CRASHES = 4;
/** Crashed endpoints from which on the number of tries is limited. */
const GUILTY_CRASHES = 3;
/** Share of the most crashes of a subject from which on others are suspected as well. */
const PRIME_SUSPECT_SHARE = 0.7;
/** Pause after the last crash or try of a request that crashed two endpoints. */
const SUSPECT_PAUSE_MILLISECONDS = 2_000;
/**
 * Pauses before each try of a request that crashed three endpoints. They are for
 * requests that were present at other requests' crashes.
 */
const GUILTY_PAUSES_MILLISECONDS = [10_000, 60_000, 300_000];
/**
 * An answer that began this long before a crash clears its subjects as well: while
 * endpoints end one after the other, answers on shared parts go on elsewhere, and
 * are known to have succeeded some time after they began.
 */
const SUCCESS_VALIDITY_MILLISECONDS = 1_500;
/** What is known of a subject is dropped this long after it last mattered. */
const MEMORY_MILLISECONDS = 600_000;
const MAXIMUM_CRASHES = 1_000;
const MAXIMUM_SUCCESSES = 5_000;

/** The decision on a request that is not suspected. */
export const NOT_SUSPECTED: SuspectDecision = {
  verdict: SuspectVerdict.Serve,
  waitMilliseconds: 0,
  suspects: [],
  endpoints: [],
};

/**
 * Decides which requests may be sent to endpoints, from the crashes at which their
 * subjects were present: the request itself, and the parts that its prompt shares
 * with others. Knowledge of several hosts is merged, in any order and any number
 * of times, with the same result.
 *
 * A crash says that at least one of its subjects is guilty, unless the endpoint ended
 * for another reason. An answer clears all subjects of its request. A request can
 * have caused a crash if it has all of the crash's prime suspects; one that has only
 * some of them is served, and its answer or its crash tells these apart.
 *
 * @example
 * ```ts
 * const subjects = [digest, partSubject('5c1e07a2')];
 * suspects.recordCrash({endpoint: 'i-1', at: 0, subjects});
 * const {verdict} = suspects.decide(subjects, 100); // SuspectVerdict.Serve
 * ```
 */
export class CrashSuspects {
  private readonly crashes = new Map<string, EndpointCrash>();
  /** Endpoints that crashed under each subject. */
  private readonly endpointsOf = new Map<string, Set<string>>();
  private readonly withdrawn = new Map<string, number>();
  private readonly tries = new Map<string, readonly number[]>();
  /** Those of the longest idle subjects first. */
  private readonly successes = new Map<string, number>();
  /** When each suspected request last arrived. */
  private readonly arrivals = new Map<string, number>();
  /** Crash counts of subjects and prime suspects of crashes, until something changes. */
  private readonly counts = new Map<string, number>();
  private readonly primeSuspectsOf = new Map<string, readonly string[]>();

  /** Whether no crash is known, so that no request needs to be looked up. */
  get isEmpty(): boolean {
    return this.crashes.size === 0;
  }

  /** The subjects that are suspected. */
  get suspectedSubjects(): readonly string[] {
    // Most subjects were present at one crash; asked for with each message.
    return [...this.endpointsOf]
      .filter(([, endpoints]) => endpoints.size >= SUSPECT_CRASHES)
      .map(([subject]) => subject)
      .filter(subject => this.isSuspected(subject));
  }

  /**
   * Whether a subject was present at two crashes or more and not cleared. A part that
   * was answered before needs four, as parts in wide use are present at most crashes.
   */
  isSuspected(subject: string): boolean {
    const wasAnswered = isPart(subject) && this.successes.has(subject);
    return (
      this.crashCount(subject) >=
      (wasAnswered ? ANSWERED_PART_CRASHES : SUSPECT_CRASHES)
    );
  }

  /** Number of subjects that were present at a crash and not cleared. */
  get subjectCount(): number {
    const all = [...this.endpointsOf.keys()];
    return all.filter(subject => this.crashCount(subject) > 0).length;
  }

  /** Number of crashes at which the subject was present and that it is not cleared of. */
  crashCount(subject: string): number {
    if (!this.endpointsOf.has(subject)) {
      return 0;
    }
    let count = this.counts.get(subject);
    if (count === undefined) {
      count = this.crashesOf(subject).length;
      this.counts.set(subject, count);
    }
    return count;
  }

  /**
   * Records a crash, or adds subjects to a known one.
   *
   * @returns Whether any of its subjects was new.
   */
  recordCrash(crash: EndpointCrash): boolean {
    const {endpoint} = crash;
    if (this.withdrawn.has(endpoint) || crash.subjects.length === 0) {
      return false;
    }
    const known = this.crashes.get(endpoint);
    const subjects = new Set([...(known?.subjects ?? []), ...crash.subjects]);
    const at = Math.min(known?.at ?? Infinity, crash.at);
    const hasNewSubject = subjects.size > (known?.subjects.length ?? 0);
    if (!hasNewSubject && at === known?.at) {
      return false;
    }
    this.crashes.set(endpoint, {endpoint, at, subjects: [...subjects]});
    for (const subject of crash.subjects) {
      const endpoints = this.endpointsOf.get(subject) ?? new Set();
      this.endpointsOf.set(subject, endpoints.add(endpoint));
    }
    this.dropOldest();
    this.forgetConclusions();
    return hasNewSubject;
  }

  /**
   * Takes a crash back, because the endpoint was at work at a later time.
   *
   * @returns Whether there was such a crash.
   */
  withdrawCrash(endpoint: string, livedAt: number): boolean {
    if (livedAt <= (this.crashes.get(endpoint)?.at ?? Infinity)) {
      return false;
    }
    this.dropCrash(endpoint);
    this.withdrawn.set(endpoint, livedAt);
    return true;
  }

  /**
   * Records that an endpoint answered a request with this subject.
   *
   * @param beganAt When the endpoint began the answer, on the monotonic clock in
   *     milliseconds. It says nothing of crashes that came much later.
   * @returns Whether the subject is cleared of a crash by it.
   */
  recordSuccess(subject: string, beganAt: number): boolean {
    const before = this.crashCount(subject);
    const known = this.successes.get(subject);
    this.successes.delete(subject);
    this.successes.set(subject, Math.max(known ?? -Infinity, beganAt));
    if (before > 0 || (known === undefined && this.endpointsOf.has(subject))) {
      this.forgetConclusions();
    }
    this.dropLongestIdle();
    return this.crashCount(subject) < before;
  }

  /** Records that a try of a request with these suspects was permitted. */
  recordTry(suspects: readonly string[], now: number): void {
    for (const subject of suspects) {
      this.tries.set(subject, [...(this.tries.get(subject) ?? []), now]);
    }
  }

  /** Whether a request with these subjects can have caused a crash by itself. */
  canHaveCrashed(subjects: readonly string[]): boolean {
    return this.causedBy(subjects).length > 0;
  }

  /**
   * Decides on a request that arrives.
   *
   * @param subjects Its digest first, then its shared parts.
   */
  decide(subjects: readonly string[], now: number): SuspectDecision {
    const caused = this.causedBy(subjects);
    if (caused.length < SUSPECT_CRASHES) {
      return NOT_SUSPECTED;
    }
    const suspects = [
      ...new Set(caused.flatMap(crash => this.primeSuspects(crash))),
    ].sort();
    const [digest = ''] = subjects;
    // A part that is still asked for is not suspected for longer by that.
    if (suspects.includes(digest)) {
      this.arrivals.set(digest, now);
    }
    const crashTimes = caused
      .map(({at}) => at)
      .sort((one, other) => one - other);
    const triedAt = this.latestTries(suspects);
    const lastAt = Math.max(...crashTimes, ...triedAt);
    // Without one of the prime suspects, a request may still be innocent.
    const isCertain = suspects.every(subject => subjects.includes(subject));
    const pause = isCertain
      ? pauseBeforeTry(crashTimes, triedAt)
      : SUSPECT_PAUSE_MILLISECONDS;
    const wait = lastAt + pause - now;
    return {
      verdict: wait <= 0 ? SuspectVerdict.Try : SuspectVerdict.Refuse,
      waitMilliseconds: Math.min(Math.max(wait, 0), MEMORY_MILLISECONDS),
      suspects,
      endpoints: caused.map(({endpoint}) => endpoint).sort(),
    };
  }

  /** Everything that is known of crashes. */
  get knowledge(): SuspectKnowledge {
    return this.withEvents(
      [...this.crashes.values()],
      [...this.endpointsOf.keys(), ...this.tries.keys()],
    );
  }

  /** What is known of the crashes at which any of these subjects was present. */
  knowledgeOf(subjects: ReadonlySet<string>): SuspectKnowledge {
    const crashes = this.crashesWith(subjects);
    return this.withEvents(
      crashes,
      crashes.flatMap(crash => crash.subjects),
    );
  }

  /**
   * The crashes of which a subject is a prime suspect, without their other subjects, and
   * what happened to the prime suspects.
   */
  conclusionsOn(subject: string): SuspectKnowledge {
    const crashes = this.crashesOf(subject)
      .map(crash => ({...crash, subjects: this.primeSuspects(crash)}))
      .filter(({subjects}) => subjects.includes(subject));
    return this.withEvents(
      crashes,
      crashes.flatMap(({subjects}) => subjects),
    );
  }

  /**
   * What another host does not know of the crashes that it told of, and of those at
   * which their uncleared subjects were present; everything, if it told of none.
   */
  answerTo(told: SuspectKnowledge): SuspectKnowledge {
    if (told.crashes.length === 0) {
      return this.knowledge;
    }
    const named = told.crashes.flatMap(({subjects}) => subjects);
    const uncleared = named.filter(subject => this.crashCount(subject) > 0);
    const counts = new Map(
      told.crashes.map(({endpoint, subjects}) => [endpoint, subjects.length]),
    );
    const untold = this.crashesWith(new Set(uncleared)).filter(
      ({endpoint, subjects}) => subjects.length > (counts.get(endpoint) ?? 0),
    );
    return this.withEvents(untold, [
      ...named,
      ...untold.flatMap(({subjects}) => subjects),
    ]);
  }

  /**
   * Adds what another host knows. Times of one event differ between hosts by how
   * long messages take.
   *
   * @param toleranceMilliseconds Tries that are closer to each other are one.
   * @returns Endpoints of the crashes that were new.
   */
  merge(
    {crashes, tries, successes}: SuspectKnowledge,
    toleranceMilliseconds: number,
  ): readonly string[] {
    for (const {subject, at} of successes) {
      const known = this.successes.get(subject) ?? -Infinity;
      if (at > known + toleranceMilliseconds) {
        this.recordSuccess(subject, at);
      }
    }
    for (const {subject, at} of tries) {
      const known = this.tries.get(subject) ?? [];
      if (known.every(time => Math.abs(time - at) > toleranceMilliseconds)) {
        this.recordTry([subject], at);
      }
    }
    return crashes
      .filter(crash => this.recordCrash(crash))
      .map(({endpoint}) => endpoint);
  }

  /** Drops what no longer matters. */
  prune(now: number): void {
    const oldest = now - MEMORY_MILLISECONDS;
    for (const [endpoint, {at, subjects}] of this.crashes) {
      const isOld = subjects.every(subject => this.lastAt(subject) < oldest);
      if (at < oldest && isOld) {
        this.dropCrash(endpoint);
      }
    }
    for (const times of [this.withdrawn, this.successes, this.arrivals]) {
      dropBefore(times, oldest);
    }
    this.forgetConclusions();
    for (const [subject, times] of this.tries) {
      if (Math.max(...times) < oldest && this.crashCount(subject) === 0) {
        this.tries.delete(subject);
      }
    }
  }

  private crashesWith(subjects: ReadonlySet<string>): readonly EndpointCrash[] {
    return [...this.crashes.values()].filter(crash =>
      crash.subjects.some(subject => subjects.has(subject)),
    );
  }

  /** Adds the tries and successes of subjects to crashes. */
  private withEvents(
    crashes: readonly EndpointCrash[],
    subjects: readonly string[],
  ): SuspectKnowledge {
    const named = [...new Set(subjects)];
    return {
      crashes,
      tries: named.flatMap(subject =>
        (this.tries.get(subject) ?? []).map(at => ({subject, at})),
      ),
      successes: named.flatMap(subject => {
        const at = this.successes.get(subject);
        return at === undefined ? [] : [{subject, at}];
      }),
    };
  }

  /** The crashes at which the subject was present and that it is not cleared of. */
  private crashesOf(subject: string): readonly EndpointCrash[] {
    return [...(this.endpointsOf.get(subject) ?? [])]
      .flatMap(endpoint => this.crashes.get(endpoint) ?? [])
      .filter(crash => !this.isCleared(subject, crash));
  }

  private isCleared(subject: string, {at}: EndpointCrash): boolean {
    const success = this.successes.get(subject) ?? -Infinity;
    return at <= success + SUCCESS_VALIDITY_MILLISECONDS;
  }

  /**
   * The crashes of which a request with these subjects has all prime suspects. A
   * request that came to several endpoints is a suspect beside its parts; others with
   * these parts must not wait until it is known which of them it was.
   */
  private causedBy(subjects: readonly string[]): readonly EndpointCrash[] {
    const present = subjects
      .filter(subject => this.isSuspected(subject))
      .flatMap(subject => this.crashesOf(subject));
    return [...new Set(present)].filter(crash => {
      const suspects = this.primeSuspects(crash);
      const parts = suspects.filter(isPart);
      const required = parts.length > 0 ? parts : suspects;
      return required.every(subject => subjects.includes(subject));
    });
  }

  /**
   * The subjects of a crash that may have caused it: those that were never answered
   * before those that were, and of these all that were present at half as many crashes
   * as the one with the most, or more. While many endpoints end for another reason,
   * several parts that are in wide use are suspects of each crash, and no request has
   * all of them.
   */
  private primeSuspects(crash: EndpointCrash): readonly string[] {
    let suspects = this.primeSuspectsOf.get(crash.endpoint);
    if (suspects === undefined) {
      suspects = this.findPrimeSuspects(crash);
      this.primeSuspectsOf.set(crash.endpoint, suspects);
    }
    return suspects;
  }

  private findPrimeSuspects(crash: EndpointCrash): readonly string[] {
    const suspected = crash.subjects
      .filter(subject => !this.isCleared(subject, crash))
      .filter(subject => this.isSuspected(subject))
      .map(subject => ({subject, count: this.crashCount(subject)}));
    const unanswered = suspected.filter(
      ({subject}) => !this.successes.has(subject),
    );
    const likely = unanswered.length > 0 ? unanswered : suspected;
    const most = Math.max(...likely.map(({count}) => count));
    return likely
      .filter(({count}) => count >= most * PRIME_SUSPECT_SHARE)
      .map(({subject}) => subject);
  }

  /** Times of the tries of that suspect which was tried the most. */
  private latestTries(suspects: readonly string[]): readonly number[] {
    return suspects
      .map(subject => this.tries.get(subject) ?? [])
      .reduce((most, times) => (times.length > most.length ? times : most), []);
  }

  private lastAt(subject: string): number {
    return Math.max(
      this.arrivals.get(subject) ?? -Infinity,
      ...(this.tries.get(subject) ?? []),
    );
  }

  private dropLongestIdle(): void {
    const [longestIdle] = this.successes.keys();
    if (this.successes.size > MAXIMUM_SUCCESSES && longestIdle !== undefined) {
      this.successes.delete(longestIdle);
      if (this.endpointsOf.has(longestIdle)) {
        this.forgetConclusions();
      }
    }
  }

  private forgetConclusions(): void {
    this.counts.clear();
    this.primeSuspectsOf.clear();
  }

  private dropOldest(): void {
    const [oldest] = this.crashes.keys();
    if (this.crashes.size > MAXIMUM_CRASHES && oldest !== undefined) {
      this.dropCrash(oldest);
    }
  }

  private dropCrash(endpoint: string): void {
    const subjects = this.crashes.get(endpoint)?.subjects ?? [];
    this.crashes.delete(endpoint);
    this.forgetConclusions();
    for (const subject of subjects) {
      const endpoints = this.endpointsOf.get(subject);
      endpoints?.delete(endpoint);
      if (endpoints?.size === 0) {
        this.endpointsOf.delete(subject);
      }
    }
  }
}

/** Pause after the last crash or try; infinite if no try is left. */
function pauseBeforeTry(
  crashTimes: readonly number[],
  triedAt: readonly number[],
): number {
  const guiltyAt = crashTimes[GUILTY_CRASHES - 1];
  if (guiltyAt === undefined) {
    return SUSPECT_PAUSE_MILLISECONDS;
  }
  const triesSince = triedAt.filter(at => at > guiltyAt).length;
  return GUILTY_PAUSES_MILLISECONDS[triesSince] ?? Infinity;
}

function dropBefore(times: Map<string, number>, oldest: number): void {
  for (const [key, at] of times) {
    if (at < oldest) {
      times.delete(key);
    }
  }
}

import {
  CrashSuspects,
  NOT_SUSPECTED,
  SuspectVerdict,
  type EndpointCrash,
  type SuspectDecision,
  type SuspectKnowledge,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {SuspectNews, TryAnswer} from '@wisteriadeal/schema';

import {decidingHosts} from '../deciding-hosts.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {RequestIdentity} from './request-identity.js';
import type {SuspectArchive} from './suspect-archive.js';
import {SuspectEvent} from './suspect-event.js';
import {decodeNews, encodeNews} from './suspect-news.js';
import {SuspectHolder, type SuspectPeers} from './suspect-peers.js';
import {SuspectRecorder} from './suspect-recorder.js';

/** Dependencies of `SuspectRegistry`. */
export interface SuspectRegistryParts {
  readonly peers: SuspectPeers;
  /** Outlasts the processes of all hosts. */
  readonly archive: SuspectArchive;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: GatewayMetrics;
  /** Address of this host for other hosts, `IP:port`. */
  readonly ownAddress: string;
  /** Addresses of the other hosts. */
  otherAddresses(): readonly string[];
}

/** An endpoint's answer to a request. */
export interface RequestAnswer {
  readonly status: number;
  /** When it began, on the monotonic clock in milliseconds; undefined if it did not. */
  readonly answerBeganAt: number | undefined;
}

/**
 * Times of one try that hosts learn from each other differ by less than this,
 * milliseconds; two tries of a request are further apart.
 */
const SAME_TRY_MILLISECONDS = 1_000;
/** Hosts that are asked in turn to decide on a try; a lost one costs its timeout. */
const MAXIMUM_DECIDERS = 3;
/** Deciding hosts that learn of each crash; the second one decides if the first is lost. */
const INFORMED_DECIDERS = 2;
/** Events that follow each other so closely are told in one message. */
const SHARE_DELAY_MILLISECONDS = 10;
/** Hosts that a starting one asks for their knowledge. */
const TEACHERS = 3;
/** Crashed endpoints are back after some seconds. */
const LAST_ENDPOINT_WAIT_MILLISECONDS = 2_000;
const LEARN_ATTEMPTS = 10;
const LEARN_INTERVAL_MILLISECONDS = 300;
const RECALL_INTERVAL_MILLISECONDS = 1_000;

const NO_KNOWLEDGE: SuspectKnowledge = {crashes: [], tries: [], successes: []};

/**
 * What this host and, through messages, the whole fleet know of requests and parts of
 * prompts that may crash the endpoints that run them.
 */
export class SuspectRegistry extends SuspectHolder {
  private readonly suspects = new CrashSuspects();
  private readonly recorder: SuspectRecorder;
  /** Suspected subjects that all hosts were told of. */
  private announced: ReadonlySet<string> = new Set();
  /** Subjects that all hosts are told of next. */
  private readonly untold = new Set<string>();
  private sharing: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(private readonly parts: SuspectRegistryParts) {
    super();
    const {archive, clock, events} = parts;
    this.recorder = new SuspectRecorder({
      archive,
      suspects: this.suspects,
      sameTryMilliseconds: SAME_TRY_MILLISECONDS,
      clock,
      events,
    });
  }

  /** Number of requests and shared parts that were present at a crash and not cleared. */
  get subjectCount(): number {
    return this.suspects.subjectCount;
  }

  /** Asks other hosts for what they know, once there are any. */
  async learn(): Promise<void> {
    for (let attempt = 0; attempt < LEARN_ATTEMPTS; attempt++) {
      const teachers = this.parts.otherAddresses().slice(-TEACHERS);
      const answers = await Promise.all(
        teachers.map(address => this.shareWith(address, NO_KNOWLEDGE)),
      );
      if (this.isClosed || answers.includes(true)) {
        return;
      }
      await this.parts.clock.sleep(LEARN_INTERVAL_MILLISECONDS);
    }
  }

  /**
   * Reads what the store has, in case that no host knows it any more. Resolves after the
   * first attempt; others follow until the store answers.
   */
  async recall(): Promise<void> {
    if ((await this.recorder.read()) === undefined) {
      void this.recallLater();
      return;
    }
    // Other hosts read it as well.
    this.announced = new Set(this.suspects.suspectedSubjects);
  }

  /**
   * Decides whether a request that arrives may be sent to endpoints.
   *
   * @param hasOtherEndpoint Whether its service could lose an endpoint; asked
   *     before a try.
   */
  async admit(
    identity: RequestIdentity,
    hasOtherEndpoint: () => boolean,
  ): Promise<SuspectDecision> {
    if (this.suspects.isEmpty) {
      return NOT_SUSPECTED;
    }
    const decision = await this.decide(identity.subjects, hasOtherEndpoint);
    if (decision.verdict === SuspectVerdict.Refuse) {
      this.parts.metrics.suspectEvent(SuspectEvent.Refused);
    }
    return decision;
  }

  /** Whether a request whose answer broke may be sent to another endpoint. */
  mayResend(identity: RequestIdentity): boolean {
    return (
      this.suspects.isEmpty ||
      (this.suspects.crashCount(identity.digest) === 0 &&
        !this.suspects.canHaveCrashed(identity.subjects))
    );
  }

  /** Records that an endpoint answers a request, or has answered it. */
  requestAnswered(identity: RequestIdentity, answer: RequestAnswer): void {
    const {answerBeganAt: beganAt} = answer;
    const answered = this.answeredSubjects(identity, answer);
    if (beganAt === undefined || answered.length === 0) {
      return;
    }
    const suspected = answered.filter(subject =>
      this.suspects.isSuspected(subject),
    );
    const cleared = answered.filter(subject =>
      this.suspects.recordSuccess(subject, beganAt),
    );
    if (cleared.length === 0) {
      return;
    }
    this.report(SuspectEvent.Cleared, {subjects: cleared.join(', ')});
    if (cleared.some(subject => suspected.includes(subject))) {
      this.shareWithAll(cleared);
      this.recorder.saveCleared(cleared);
    } else {
      this.shareWithDeciders(cleared);
    }
  }

  /**
   * Records the end of an endpoint, and tells the hosts that decide on its subjects.
   * They tell all hosts of a subject that they know of other crashes: a fleet where
   * many endpoints end at once must not be busy with messages.
   */
  endpointCrashed(crash: EndpointCrash): void {
    this.suspects.prune(this.now());
    if (!this.suspects.recordCrash(crash)) {
      return;
    }
    this.reportCrash(crash);
    this.shareNewSuspects(() => [this.parts.ownAddress]);
    this.recorder.saveSuspected(crash.subjects);
    this.shareWithDeciders(
      crash.subjects.filter(subject => this.suspects.crashCount(subject) > 0),
    );
  }

  /** Takes a crash back if the endpoint was at work at a later time. */
  endpointLived(endpoint: string, at: number): void {
    if (this.suspects.withdrawCrash(endpoint, at)) {
      this.report(SuspectEvent.Withdrawn, {endpoint});
      // Hosts that start would suspect what the store still has.
      const cleared = [...this.announced].filter(
        subject => !this.suspects.isSuspected(subject),
      );
      if (cleared.length > 0) {
        this.recorder.saveCleared(cleared);
      }
    }
  }

  override receive(news: SuspectNews): SuspectNews {
    const knowledge = decodeNews(news, this.now());
    this.merge(knowledge);
    this.shareNewSuspects(subject => this.informedDeciders(subject));
    return this.encode(this.suspects.answerTo(knowledge));
  }

  override permitTry(
    subjects: readonly string[],
  ): Pick<TryAnswer, 'isPermitted' | 'waitMilliseconds'> {
    const decision = this.decideTry(subjects);
    return {
      isPermitted: decision.verdict !== SuspectVerdict.Refuse,
      waitMilliseconds: decision.waitMilliseconds,
    };
  }

  /** Ends learning and closes the connections to other hosts. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.sharing);
    this.recorder.close();
    this.parts.peers.close();
  }

  private async decide(
    subjects: readonly string[],
    hasOtherEndpoint: () => boolean,
  ): Promise<SuspectDecision> {
    const decision = this.suspects.decide(subjects, this.now());
    if (decision.verdict !== SuspectVerdict.Try) {
      return decision;
    }
    return hasOtherEndpoint()
      ? this.requestStoredTry(subjects)
      : {
          ...decision,
          verdict: SuspectVerdict.Refuse,
          waitMilliseconds: LAST_ENDPOINT_WAIT_MILLISECONDS,
        };
  }

  private async recallLater(): Promise<void> {
    await this.parts.clock.sleep(RECALL_INTERVAL_MILLISECONDS);
    if (!this.isClosed) {
      await this.recall();
    }
  }

  /**
   * Asks for a try by what the store has, and writes it there before the request is
   * sent: hosts that don't reach each other may both permit one.
   */
  private async requestStoredTry(
    subjects: readonly string[],
  ): Promise<SuspectDecision> {
    const stored = await this.recorder.readInTime();
    const decision = this.suspects.decide(subjects, this.now());
    if (decision.verdict !== SuspectVerdict.Try) {
      return decision;
    }
    const permission = await this.requestTry(subjects, decision);
    if (permission.verdict !== SuspectVerdict.Try || stored === undefined) {
      return permission;
    }
    const isClaimed = await this.recorder.claimTry(decision.suspects, stored);
    return isClaimed ? permission : this.suspects.decide(subjects, this.now());
  }

  /**
   * Asks the hosts that decide for the fleet, in their order; this one decides if
   * it is its turn, or if none answers.
   */
  private async requestTry(
    subjects: readonly string[],
    decision: SuspectDecision,
  ): Promise<SuspectDecision> {
    const {peers, ownAddress} = this.parts;
    const [deciding = ''] = decision.suspects;
    const known = this.encode(
      this.suspects.knowledgeOf(new Set(decision.suspects)),
    );
    for (const address of this.deciders(deciding)) {
      if (address === ownAddress) {
        break;
      }
      try {
        const answer = await peers.requestTry(address, subjects, known);
        const {isPermitted, waitMilliseconds} = answer;
        if (isPermitted) {
          this.suspects.recordTry(decision.suspects, this.now());
        }
        return {
          ...decision,
          verdict: isPermitted ? SuspectVerdict.Try : SuspectVerdict.Refuse,
          waitMilliseconds,
        };
      } catch (error) {
        this.parts.events.info('suspect decision not available', {
          address,
          reason: String(error),
        });
      }
    }
    return this.decideTry(subjects);
  }

  /** The subjects of which an answer says that they crash no endpoint. */
  private answeredSubjects(
    identity: RequestIdentity,
    {status}: RequestAnswer,
  ): readonly string[] {
    // An endpoint may refuse a request without having read its prompt. Answers on
    // shared parts also count for crashes that come soon after them.
    const parts = status < 300 ? identity.parts : [];
    const isSuspected =
      status < 500 &&
      !this.suspects.isEmpty &&
      this.suspects.crashCount(identity.digest) > 0;
    return isSuspected ? [identity.digest, ...parts] : parts;
  }

  private informedDeciders(subject: string): readonly string[] {
    return this.deciders(subject).slice(0, INFORMED_DECIDERS);
  }

  private deciders(subject: string): readonly string[] {
    const {ownAddress} = this.parts;
    const addresses = [ownAddress, ...this.parts.otherAddresses()];
    return decidingHosts(subject, addresses, MAXIMUM_DECIDERS);
  }

  /** Tells the first hosts that decide on each subject and can be reached. */
  private shareWithDeciders(subjects: readonly string[]): void {
    const knowledge = this.suspects.knowledgeOf(new Set(subjects));
    const told = new Map<string, Promise<boolean>>();
    const tell = (address: string) => {
      const telling =
        told.get(address) ??
        (address === this.parts.ownAddress
          ? Promise.resolve(true)
          : this.shareWith(address, knowledge));
      told.set(address, telling);
      return telling;
    };
    for (const subject of subjects) {
      void this.informDeciders(subject, tell);
    }
  }

  private async informDeciders(
    subject: string,
    tell: (address: string) => Promise<boolean>,
  ): Promise<void> {
    let informed = 0;
    for (const address of this.deciders(subject)) {
      if (await tell(address)) {
        informed++;
      }
      if (informed === INFORMED_DECIDERS) {
        return;
      }
    }
  }

  /**
   * Tells all hosts of subjects that are suspected now and were not before. What
   * follows for these is told to the hosts that decide on them.
   *
   * @param announcersOf Addresses of the hosts that tell of a subject. If all told
   *     what they are told, each event would cost a message from each to each.
   */
  private shareNewSuspects(
    announcersOf: (subject: string) => readonly string[],
  ): void {
    const suspected = this.suspects.suspectedSubjects;
    const added = suspected.filter(
      subject =>
        !this.announced.has(subject) &&
        announcersOf(subject).includes(this.parts.ownAddress),
    );
    this.announced = new Set(suspected);
    if (added.length > 0) {
      this.shareWithAll(added);
    }
  }

  private decideTry(subjects: readonly string[]): SuspectDecision {
    const now = this.now();
    const decision = this.suspects.decide(subjects, now);
    if (decision.verdict === SuspectVerdict.Try) {
      this.suspects.recordTry(decision.suspects, now);
      this.report(SuspectEvent.Tried, {
        subjects: decision.suspects.join(', '),
      });
      // Another host may have to decide on the next one at any moment.
      this.shareNow(decision.suspects);
    }
    return decision;
  }

  /** Tells all hosts of these subjects when the current events have been handled. */
  private shareWithAll(subjects: readonly string[]): void {
    for (const subject of subjects) {
      this.untold.add(subject);
    }
    this.sharing ??= setTimeout(() => {
      this.sharing = undefined;
      const untold = [...this.untold];
      this.untold.clear();
      this.shareNow(untold);
    }, SHARE_DELAY_MILLISECONDS);
  }

  private shareNow(subjects: readonly string[]): void {
    const knowledge = this.suspects.knowledgeOf(new Set(subjects));
    for (const address of this.parts.otherAddresses()) {
      void this.shareWith(address, knowledge);
    }
  }

  /** Resolves with whether the host answered. */
  private async shareWith(
    address: string,
    knowledge: SuspectKnowledge,
  ): Promise<boolean> {
    try {
      const news = await this.parts.peers.share(
        address,
        this.encode(knowledge),
      );
      this.mergeAnswer(decodeNews(news, this.now()));
      return true;
    } catch (error) {
      // The host learns it with the next message, or was lost with what it ran.
      this.parts.events.info('suspects not shared', {
        address,
        reason: String(error),
      });
      return false;
    }
  }

  private merge(knowledge: SuspectKnowledge): void {
    this.suspects.merge(knowledge, SAME_TRY_MILLISECONDS);
  }

  /** Adds what a host answered, and tells all hosts of subjects that it cleared. */
  private mergeAnswer(knowledge: SuspectKnowledge): void {
    const suspected = this.suspects.suspectedSubjects;
    this.merge(knowledge);
    const cleared = suspected.filter(
      subject => !this.suspects.isSuspected(subject),
    );
    if (cleared.length > 0) {
      this.shareWithAll(cleared);
    }
  }

  private encode(knowledge: SuspectKnowledge): SuspectNews {
    return encodeNews(knowledge, this.now());
  }

  private reportCrash({endpoint, subjects}: EndpointCrash): void {
    this.report(SuspectEvent.Crash, {
      endpoint,
      subjects: subjects
        .map(subject => `${subject}: ${this.suspects.crashCount(subject)}`)
        .join(', '),
    });
  }

  private report(
    event: SuspectEvent,
    fields: Readonly<Record<string, string>>,
  ): void {
    this.parts.metrics.suspectEvent(event);
    this.parts.events.info(`crash suspects: ${event}`, fields);
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

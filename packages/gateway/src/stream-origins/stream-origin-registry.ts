import {
  isSameOrigin,
  StartVerdict,
  StreamOrigins,
  type OriginEvidence,
  type OriginKnowledge,
  type OriginRecord,
  type StreamOrigin,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {
  PastOrigins,
  StreamOriginAnswer,
  StreamOriginQuery,
  StreamOriginRecord,
} from '@wisteriadeal/schema';
import {setTimeout as delay} from 'node:timers/promises';

import {decidingHosts} from '../deciding-hosts.js';
import type {EndpointDirectory} from '../endpoint-directory.js';
import type {PeerHost} from '../relay-directory.js';
import {
  decodeAnswer,
  decodeRecord,
  decodeRun,
  encodeAnswer,
  encodePast,
  encodeRecord,
} from './origin-messages.js';
import {
  originRecorders,
  TOLD_HOSTS,
  TOLD_LOCAL_HOSTS,
  type OriginRecorders,
} from './origin-recorders.js';
import {OriginSender} from './origin-sender.js';
import {originOf, type FirstRun} from './stream-binding.js';
import type {OriginWatch} from './origin-watch.js';
import {
  StreamOriginHolder,
  type StreamOriginPeers,
} from './stream-origin-peers.js';
import {UnconfirmedRuns, type UnconfirmedRun} from './unconfirmed-runs.js';

/** Dependencies of `StreamOriginRegistry`. */
export interface StreamOriginRegistryParts {
  readonly peers: StreamOriginPeers;
  readonly watch: OriginWatch;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dataCenter: string;
  /** Address of this host for other hosts, `IP:port`. */
  readonly ownAddress: string;
  /** The other hosts that callers of this one may come to. */
  otherHosts(): readonly PeerHost[];
  /** Every change of the list of endpoints before this offset was read. */
  listPosition(): number;
  /** Whether configurations are read, without which routes may have changed. */
  isConfigurationReadable(): boolean;
  /**
   * Reads endpoints and routes. Resolves with whether every change is known that was
   * written before the call.
   */
  readChanges(): Promise<boolean>;
}

/** Hosts that can be reached answer within this time. */
const BRIEF_MILLISECONDS = 30;

/** A stream, and the request that asks for it. */
export interface StreamRequest {
  /** Digest of the stream; empty if the caller doesn't name its first attempt. */
  readonly stream: string;
  /** Host name and path of the request. */
  readonly host: string;
  readonly path: string;
}

/**
 * What this host and, through messages, a few others know of the origins of streams.
 * While only one service and build can begin a stream, nobody is told, or one host for as
 * long as this one has not watched for long enough to prove it.
 */
export class StreamOriginRegistry extends StreamOriginHolder {
  private readonly origins = new StreamOrigins();
  /** This host's own streams of which it has told nobody, oldest first. */
  private readonly untold = new Map<string, OriginRecord>();
  private readonly unconfirmed: UnconfirmedRuns;
  private readonly sender: OriginSender;
  /** The host that took the latest record of those that one host is told. */
  private toldHost: string | undefined;
  /** Whether the list and the routes were current when the latest stream was recorded. */
  private wasCurrent = true;

  constructor(private readonly parts: StreamOriginRegistryParts) {
    super();
    this.sender = new OriginSender(parts.peers, parts.events);
    const {watch, directory} = parts;
    watch.setDifferListener(service => {
      this.tellUntold(service);
    });
    this.unconfirmed = new UnconfirmedRuns(directory, run => {
      this.takeBack(run);
    });
  }

  /** Number of streams whose origin this host keeps. */
  get streamCount(): number {
    return this.origins.size;
  }

  /**
   * Records that a stream of this host has begun.
   *
   * @param keptUntil How long its caller may take it up; monotonic clock,
   *     milliseconds.
   */
  began(request: StreamRequest, run: FirstRun, keptUntil: number): void {
    const {stream} = request;
    const {endpoint, openSince} = run;
    const start = endpoint.entry;
    const origin = this.judged(originOf(run), {
      stream,
      start,
      openSince,
      keptUntil,
      run,
    });
    this.record({stream, origin, keptUntil}, request);
  }

  /** Records that a stream that was taken up goes on at this host. */
  wentOn(
    request: StreamRequest,
    origin: StreamOrigin,
    keptUntil: number,
  ): void {
    this.record({stream: request.stream, origin, keptUntil}, request);
  }

  /** Resolves with what this host and others know of a stream. */
  async find(request: StreamRequest): Promise<OriginEvidence> {
    const known = this.knowledge(request);
    if (known.isRecorded) {
      return this.checkRecord(request, known, known, []);
    }
    const others = this.parts.otherHosts().map(({address}) => address);
    // Before a host has watched for long enough, any other may have served the stream.
    const asked = known.hasWatched
      ? this.recorderAddresses(request.stream)
      : others;
    const changes =
      known.possible.length === 1
        ? this.parts.readChanges()
        : Promise.resolve(false);
    const isKnownAlone = known.hasWatched ? changes : Promise.resolve(false);
    const answers = await this.ask(asked, request, isKnownAlone);
    const recorded = answers.find(({isRecorded}) => isRecorded);
    if (recorded !== undefined) {
      return this.checkRecord(request, recorded, known, answers);
    }
    const isUpToDate = await changes;
    // Streams that began while the store was lost are told to one host, which may be any.
    const notAsked =
      isUpToDate || known.possible.length !== 1
        ? []
        : others.filter(address => !asked.includes(address));
    const more = await this.ask(notAsked, request, Promise.resolve(false));
    return {
      own: this.knowledge(request),
      answers: [...answers, ...more],
      isUpToDate,
    };
  }

  /**
   * Checks a recorded origin. The list is read if it may not have its endpoints yet, or
   * may tell of another start of the endpoint that began the stream. Other hosts that
   * have read it are asked if this one can't.
   */
  private async checkRecord(
    request: StreamRequest,
    {origin}: OriginKnowledge,
    {possible}: OriginKnowledge,
    answers: readonly OriginKnowledge[],
  ): Promise<OriginEvidence> {
    const {stream} = request;
    const isListed =
      origin === undefined ||
      possible.some(other => isSameOrigin(origin, other));
    const isOpen = () => this.unconfirmed.find(stream) !== undefined;
    const {directory} = this.parts;
    const isReadNeeded = !isListed || (isOpen() && directory.isReadable);
    const isRead = isReadNeeded && (await this.parts.readChanges());
    const isAsked = answers.length > 0 && !directory.isReadable;
    const more =
      isRead || isAsked || !isOpen()
        ? []
        : await this.ask(
            this.recorderAddresses(stream),
            request,
            Promise.resolve(true),
            false,
          );
    return evidenceOf(this.knowledge(request), [...answers, ...more]);
  }

  override receive(records: readonly StreamOriginRecord[]): void {
    const now = this.now();
    for (const message of records) {
      const record = decodeRecord(message, now);
      const origin = this.judged(record.origin, decodeRun(message, now));
      this.origins.record({...record, origin}, now);
    }
  }

  /** What a stream began at, by the list as it was read last. */
  private judged(
    origin: StreamOrigin | undefined,
    run: UnconfirmedRun | undefined,
  ): StreamOrigin | undefined {
    const isRefuted =
      origin !== undefined &&
      run !== undefined &&
      this.unconfirmed.add(run, this.now()) === StartVerdict.Refuted;
    return isRefuted ? undefined : origin;
  }

  override answer({
    stream,
    requestHost,
    requestPath,
  }: StreamOriginQuery): StreamOriginAnswer {
    const now = this.now();
    const record = this.origins.find(stream, now);
    const {watch} = this.parts;
    return encodeAnswer(
      record && encodeRecord(record, now, this.unconfirmed.find(stream)),
      watch.originsOf(requestHost, requestPath),
      {
        listPosition: this.parts.listPosition(),
        configurationVersion: watch.configurationVersion,
      },
    );
  }

  override past(): PastOrigins {
    const position = this.parts.listPosition();
    return encodePast(this.parts.watch.past(position));
  }

  /** Closes the connections to other hosts. */
  close(): void {
    this.parts.peers.close();
  }

  private record(record: OriginRecord, {host, path}: StreamRequest): void {
    this.origins.record(record, this.now());
    const {watch} = this.parts;
    const {
      possible,
      hasWatched,
      isCurrent: isListCurrent,
    } = watch.originsOf(host, path);
    const isCurrent = isListCurrent && this.parts.isConfigurationReadable();
    if (possible.length !== 1 || record.origin === undefined) {
      void this.tell(record);
      return;
    }
    // While the store is lost, records alone can tell what began a stream.
    if (this.wasCurrent && !isCurrent) {
      for (const untold of this.untold.values()) {
        void this.tellOne(untold);
      }
    }
    this.wasCurrent = isCurrent;
    this.keepUntold(record);
    if (!hasWatched || !isCurrent) {
      void this.tellOne(record);
    }
  }

  /** Takes back what was recorded of a run that another build may have served. */
  private takeBack({stream, keptUntil, run}: UnconfirmedRun): void {
    const record = {stream, origin: undefined, keptUntil};
    this.origins.record(record, this.now());
    this.untold.delete(stream);
    // Hosts that can't read the list, and those of an earlier release, are told.
    if (run !== undefined) {
      void this.tell(record);
    }
  }

  private knowledge({stream, host, path}: StreamRequest): OriginKnowledge {
    const record = this.origins.find(stream, this.now());
    return {
      isRecorded: record !== undefined,
      origin: record?.origin,
      ...this.parts.watch.originsOf(host, path),
    };
  }

  /**
   * Resolves when a host has a record, or all have answered or can't be reached.
   *
   * @param isKnownAlone Resolves with whether this host needs no answer but a record;
   *     those that answer late are not waited for then.
   * @param isOpenEnough Whether a record that is not confirmed is enough. If the list
   *     can't tell, another host may have taken it back.
   */
  private async ask(
    addresses: readonly string[],
    {stream, host, path}: StreamRequest,
    isKnownAlone: Promise<boolean>,
    isOpenEnough = this.parts.directory.isReadable,
  ): Promise<readonly OriginKnowledge[]> {
    const query = {stream, requestHost: host, requestPath: path};
    const answers: OriginKnowledge[] = [];
    const brief = delay(BRIEF_MILLISECONDS);
    await new Promise<void>(resolve => {
      const asked = addresses.map(async address => {
        try {
          const answer = await this.parts.peers.find(address, query);
          answers.push(this.answered(answer));
          const {record} = answer;
          if (record?.run !== undefined) {
            this.receive([record]);
          }
          if (record !== undefined) {
            const isEnough = record.run === undefined || isOpenEnough;
            void (isEnough ? Promise.resolve() : brief).then(resolve);
          }
        } catch (error) {
          this.parts.events.info('stream origin not answered', {
            address,
            reason: String(error),
          });
        }
      });
      void Promise.all(asked).then(() => {
        resolve();
      });
      void isKnownAlone.then(async isAlone => {
        if (isAlone) {
          await brief;
          resolve();
        }
      });
    });
    return [...answers];
  }

  /** What another host watched is of use if nothing is missing after it. */
  private answered(answer: StreamOriginAnswer): OriginKnowledge {
    const {listPosition = -1, configurationVersion = -1} = answer;
    const isContinued = this.parts.watch.isContinuedFrom(
      listPosition,
      configurationVersion,
    );
    const knowledge = decodeAnswer(answer);
    return {...knowledge, hasWatched: knowledge.hasWatched && isContinued};
  }

  private keepUntold(record: OriginRecord): void {
    const now = this.now();
    this.untold.delete(record.stream);
    this.untold.set(record.stream, record);
    for (const [stream, {keptUntil}] of this.untold) {
      if (keptUntil >= now && this.untold.size <= this.origins.size) {
        break;
      }
      this.untold.delete(stream);
    }
  }

  /** Tells of all streams of a service, or of all, that nobody was told of. */
  private tellUntold(service: string | undefined): void {
    const now = this.now();
    for (const [stream, record] of this.untold) {
      if (service === undefined || record.origin?.service === service) {
        this.untold.delete(stream);
        if (record.keptUntil >= now) {
          void this.tell(record);
        }
      }
    }
  }

  /**
   * Tells one host, the same for all streams, so that one message holds several. Hosts
   * that have not watched for long enough ask all others.
   */
  private async tellOne(record: OriginRecord): Promise<void> {
    const others = this.parts.otherHosts().map(({address}) => address);
    const {toldHost} = this;
    const hasTold =
      toldHost !== undefined &&
      others.includes(toldHost) &&
      (await this.tellFirst(record, [toldHost], 1)).length > 0;
    if (!hasTold) {
      const untried = others.filter(address => address !== toldHost);
      const all = decidingHosts(this.parts.ownAddress, untried, untried.length);
      this.toldHost = await this.tellAny(record, all);
    }
  }

  /**
   * Resolves with a host that has the record. Hosts that have ended are known for a
   * while, and may be most of all, so that each round tries twice as many.
   */
  private async tellAny(
    record: OriginRecord,
    addresses: readonly string[],
  ): Promise<string | undefined> {
    let first: string | undefined;
    let from = 0;
    for (let count = 1; first === undefined && from < addresses.length;) {
      const next = addresses.slice(from, from + count);
      [first] = await this.tellFirst(record, next, count);
      from += count;
      count *= 2;
    }
    return first;
  }

  /** Tells the first hosts of both orders that can be reached. */
  private async tell(record: OriginRecord): Promise<void> {
    const {all, local} = this.recorders(record.stream);
    await Promise.all([
      this.tellFirst(record, all, TOLD_HOSTS),
      this.tellFirst(record, local, TOLD_LOCAL_HOSTS),
    ]);
  }

  /** Resolves with the hosts that have the record, as many as wanted if possible. */
  private async tellFirst(
    record: OriginRecord,
    addresses: readonly string[],
    count: number,
  ): Promise<readonly string[]> {
    const run = this.unconfirmed.find(record.stream);
    const message = encodeRecord(record, this.now(), run);
    const remaining = [...addresses];
    const told: string[] = [];
    while (told.length < count && remaining.length > 0) {
      const next = remaining.splice(0, count - told.length);
      const sent = await Promise.all(
        next.map(address => this.sender.send(address, message)),
      );
      told.push(...next.filter((_address, index) => sent[index]));
    }
    return told;
  }

  private recorderAddresses(stream: string): readonly string[] {
    const {all, local} = this.recorders(stream);
    return [...new Set([...all, ...local])];
  }

  private recorders(stream: string): OriginRecorders {
    const {dataCenter} = this.parts;
    return originRecorders(stream, this.parts.otherHosts(), dataCenter);
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

/** What is known with a record of the stream. */
function evidenceOf(
  own: OriginKnowledge,
  answers: readonly OriginKnowledge[] = [],
): OriginEvidence {
  return {own, answers, isUpToDate: false};
}

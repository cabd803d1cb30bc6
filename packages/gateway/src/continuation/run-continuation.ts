import {needsMove} from '@wisteriadeal/decisions';
import type {EventLog} from '@wisteriadeal/runtime';

import {RouteKind} from '../configuration.js';
import type {Dialect, DispatchHeaders} from '../dialect.js';
import type {EndpointAttempt} from '../endpoint-attempt.js';
import type {ChosenEndpoint} from '../endpoint-chooser.js';
import type {EndpointDirectory} from '../endpoint-directory.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import type {AnswerHead} from '../endpoint-exchange.js';
import {PathKind} from '../endpoint-path.js';
import type {RequestLifetime} from '../request-lifetime.js';
import type {ServicePaths} from '../service-paths.js';
import {ContinuationEvent} from './continuation-event.js';
import {addressOf} from './copy-address.js';
import {
  CopyPlacement,
  type Backup,
  type CopyPlacementParts,
} from './copy-placement.js';
import type {EndpointLeavings} from './endpoint-leavings.js';
import {
  MAXIMUM_STOP_MILLISECONDS,
  RunMove,
  type StoppedRun,
} from './run-move.js';

/** Dependencies of `RunContinuation`. */
export interface RunContinuationParts extends CopyPlacementParts {
  readonly directory: EndpointDirectory;
  readonly leavings: EndpointLeavings;
  readonly paths: ServicePaths;
  readonly lifetime: RequestLifetime;
  readonly dialect: Dialect;
  readonly events: EventLog;
  /** Takes a resend from the budget; returns whether there was one. */
  readonly claimResend: () => boolean;
}

/** A run that goes on at an endpoint. */
interface Continuation {
  readonly chosen: ChosenEndpoint;
  /** `IP:port/ID` of the copy. */
  readonly copy: string;
}

/** A stopped run for as long as its endpoints hold it. */
interface HeldRun {
  readonly run: StoppedRun;
  /** Monotonic time, milliseconds. */
  readonly until: number;
}

/**
 * Times that a run goes on at another endpoint. A request whose runs end three
 * endpoints is more likely to be their cause than to be unlucky.
 */
const MAXIMUM_CONTINUATIONS = 2;
/** Time between two tries to reach an endpoint that holds a stopped run. */
const HELD_RUN_RETRY_MILLISECONDS = 200;
/** Events from which the pace of a run is learned. */
const MINIMUM_PACE_EVENTS = 4;

/**
 * Has the run of one request copied to another endpoint while it grows, and goes on
 * there after its endpoint was lost. It stays the same run: it is reserved, charged and
 * billed once, also on routes whose requests may be sent to one endpoint only.
 */
export class RunContinuation {
  private backup: Backup | undefined;
  /** Where the run goes on; a later place only if nothing ran at those before. */
  private next: Continuation[] = [];
  /** A stopped run whose endpoints are asked next. */
  private held: HeldRun | undefined;
  /** A stopped run whose endpoints are asked, or were. */
  private tried: HeldRun | undefined;
  /** Endpoints that answered that they have no copy of the run. */
  private readonly withoutCopy = new Set<KnownEndpoint>();
  private move: RunMove | undefined;
  private current: Continuation | undefined;
  private continuations = 0;

  private readonly placement: CopyPlacement;

  constructor(private readonly parts: RunContinuationParts) {
    this.placement = new CopyPlacement(parts);
  }

  /** Whether the current attempt goes on with a run from a copy. */
  get isContinued(): boolean {
    return this.current !== undefined;
  }

  /** Whether there is a copy from which the run goes on. */
  get hasNext(): boolean {
    return this.next.length > 0 || this.held !== undefined;
  }

  /** Whether the endpoint of the current attempt has stopped the run to move it. */
  get hasStopped(): boolean {
    return this.move?.hasStopped === true;
  }

  /** Resolves with where the run goes on; undefined if nothing that has it is reached. */
  async takeNext(): Promise<ChosenEndpoint | undefined> {
    if (this.next.length === 0 && this.held !== undefined) {
      this.next = await this.reach(this.held);
      this.tried = this.held;
      this.held = undefined;
    }
    this.current = this.next.shift();
    if (this.current !== undefined) {
      const {record, metrics} = this.parts;
      const {chosen, copy} = this.current;
      metrics.continuationEvent(ContinuationEvent.Continued);
      record.continuation.steps.push({
        endpoint: chosen.endpoint.entry.id,
        copy,
        lastEventId: record.lastEventId,
      });
    }
    return this.current?.chosen;
  }

  /** Records that an attempt was sent, whose run is moved if its endpoint leaves. */
  attemptBegan(attempt: EndpointAttempt): void {
    const {context} = this.parts;
    const {attemptId} = context.caller.headers;
    const mayMove =
      context.service.engine?.supportsMoves === true &&
      context.route.kind === RouteKind.Streaming &&
      !context.isTry &&
      attemptId !== undefined;
    this.move = mayMove
      ? new RunMove({
          ...this.parts,
          attempt,
          attemptId,
          statements: this.parts.directory.statements,
          now: () => this.parts.lifetime.now(),
          connections: () =>
            this.parts.paths.pathTo(context.service.name).connections,
          isDue: timeLeft => this.isMoveDue(timeLeft),
          claimPlace: () => this.claimPlace(attempt),
        })
      : undefined;
  }

  /**
   * Records the head of an endpoint's answer. One that closes a connection that it kept
   * before may be leaving.
   */
  answerBegan({endpointHeaders}: AnswerHead, endpoint: KnownEndpoint): void {
    if (endpointHeaders.closesConnection && endpoint.confirmedOpenAt > 0) {
      this.move?.endpointLeaves();
    }
  }

  /**
   * Resolves when it is known whether the run of a broken answer was stopped. An endpoint
   * answers a move once the copy is complete, which takes as long as the copies before it.
   *
   * @param claimFailover Takes a resend for another attempt; returns whether there may be
   *     one. It is called if the answer takes long and the run has no copy elsewhere.
   */
  async settled(
    attempt: EndpointAttempt,
    claimFailover: () => boolean,
  ): Promise<void> {
    const {move} = this;
    const {lifetime} = this.parts;
    await move?.settled(MAXIMUM_STOP_MILLISECONDS, lifetime.waitSignal);
    if (
      move?.isAsked === true &&
      !this.hasUsableBackup(attempt) &&
      !claimFailover()
    ) {
      const remaining = Math.max(0, lifetime.remaining());
      await move.settled(remaining, lifetime.waitSignal);
    }
  }

  /** Prepares to go on with a run that its endpoint has stopped. */
  afterStop(): void {
    const run = this.move?.take();
    const {context, lifetime} = this.parts;
    const {handleMilliseconds = 0} = context.service.engine ?? {};
    this.next = [];
    this.withoutCopy.clear();
    this.held = run && {run, until: lifetime.now() + handleMilliseconds};
  }

  /** Prepares to try again where a stopped run is held that could not be reached. */
  afterNotSent(): void {
    if (this.next.length === 0) {
      this.held = this.tried;
    }
  }

  /**
   * The headers of an attempt that is sent now.
   *
   * @param priority Priority of the request, from 0, the most urgent, to 9.
   * @param canResend Whether it may be sent to another endpoint after this attempt, so
   *     that it needs no copy.
   */
  headersFor(
    chosen: ChosenEndpoint,
    priority: number,
    canResend: boolean,
  ): Pick<DispatchHeaders, 'backupAt' | 'continueFrom'> {
    this.backup =
      canResend || !this.parts.copies.isEnabled
        ? undefined
        : this.placement.choose(chosen, priority);
    return {
      backupAt: this.backup && addressOf(this.backup.endpoint.entry),
      continueFrom: this.current?.copy,
    };
  }

  /**
   * Prepares to go on after the connection of an attempt broke, if its run has ended
   * and was copied.
   */
  afterLoss(attempt: EndpointAttempt): void {
    this.next = [];
    this.tried = undefined;
    const {backup} = this;
    if (backup === undefined) {
      return;
    }
    const chosen = this.chosenFor(backup);
    const reason = this.reasonAgainst(attempt, chosen);
    if (
      chosen === undefined ||
      reason !== undefined ||
      !this.parts.claimResend()
    ) {
      this.parts.metrics.continuationEvent(ContinuationEvent.NotContinued);
      this.log('run not continued', attempt, backup, {
        reason: reason ?? 'no resend left',
      });
      return;
    }
    const {attemptId = ''} = this.parts.context.caller.headers;
    const copy = `${addressOf(backup.endpoint.entry)}/${attemptId}`;
    this.continuations++;
    this.next = [{chosen, copy}];
    this.log('run continued', attempt, backup, {copy});
  }

  /** Records that the endpoint of the current attempt has no copy of the run. */
  copyMissing(): void {
    if (this.current !== undefined) {
      this.withoutCopy.add(this.current.chosen.endpoint);
    }
    this.parts.metrics.continuationEvent(ContinuationEvent.CopyMissing);
  }

  /** Records the end of an attempt. */
  attemptEnded(): void {
    const {context, record, copies, metrics} = this.parts;
    const {tokensPerEvent = 1, engine, name} = context.service;
    const {meanEventMilliseconds} = record;
    if (
      meanEventMilliseconds !== undefined &&
      record.eventsDelivered >= MINIMUM_PACE_EVENTS
    ) {
      copies.paceOf(name).observe(meanEventMilliseconds / tokensPerEvent);
    }
    if (this.backup !== undefined) {
      this.backup.release();
      const bytes =
        (context.caller.headers.promptTokens + this.placement.deliveredTokens) *
        (engine?.bytesPerToken ?? 0);
      record.continuation.copiedBytes += bytes;
      metrics.runCopied(bytes);
      this.backup = undefined;
    }
    this.move?.close();
    this.move = undefined;
    this.current = undefined;
  }

  private isMoveDue(timeLeftMilliseconds: number): boolean {
    const {context, record, copies, lifetime} = this.parts;
    const {tokensPerEvent = 1, name} = context.service;
    const {meanEventMilliseconds} = record;
    const tokenMilliseconds =
      meanEventMilliseconds === undefined
        ? copies.paceOf(name).tokenMilliseconds
        : meanEventMilliseconds / tokensPerEvent;
    const remainingMilliseconds = lifetime.remaining();
    return needsMove(
      {...this.placement.runLength, tokenMilliseconds, remainingMilliseconds},
      timeLeftMilliseconds,
    );
  }

  /** Once the run is stopped it must go on, so that the resend is taken before. */
  private claimPlace({endpoint}: EndpointAttempt): KnownEndpoint | undefined {
    const {context, suspects, record} = this.parts;
    const mayGoOn = record.canGoOn && suspects.mayResend(context.identity);
    const place = mayGoOn ? this.placement.placeBeside(endpoint) : undefined;
    return place !== undefined && this.parts.claimResend() ? place : undefined;
  }

  /**
   * Resolves with the endpoints that hold a run as soon as this host has a path to them;
   * with none when they no longer hold it.
   */
  private async reach(held: HeldRun): Promise<Continuation[]> {
    const {lifetime} = this.parts;
    let places = held === this.tried ? [] : this.placesOf(held.run);
    while (
      places.length === 0 &&
      lifetime.now() < held.until &&
      !lifetime.isAbandoned &&
      this.holdersOf(held.run).length > 0
    ) {
      await lifetime.sleep(HELD_RUN_RETRY_MILLISECONDS);
      places = this.placesOf(held.run);
    }
    return places;
  }

  private placesOf(run: StoppedRun): Continuation[] {
    const {context, chooser} = this.parts;
    const {source, handle} = run;
    const copy = `${addressOf(source.entry)}/${handle}`;
    return this.holdersOf(run)
      .map(endpoint =>
        chooser.continueAt(context, endpoint, {
          isStopped: true,
          mayLeave: endpoint === source,
        }),
      )
      .filter(chosen => chosen !== undefined)
      .map(chosen => ({chosen, copy}));
  }

  /**
   * Endpoints that may hold a stopped run, in the order in which they are asked. Another start
   * of an endpoint doesn't hold it, and may know another run by its handle.
   */
  private holdersOf({source, destination}: StoppedRun): KnownEndpoint[] {
    return [destination, source]
      .filter(endpoint => endpoint !== undefined)
      .filter(
        endpoint => !endpoint.isReplaced && !this.withoutCopy.has(endpoint),
      );
  }

  /** The endpoint with the copy, if it is still the start that has it. */
  private chosenFor({
    endpoint,
    incarnation,
  }: Backup): ChosenEndpoint | undefined {
    const {context, chooser, directory} = this.parts;
    const known = directory.find(endpoint.entry.id);
    return known?.incarnation === incarnation
      ? chooser.continueAt(context, known)
      : undefined;
  }

  private hasUsableBackup(attempt: EndpointAttempt): boolean {
    const {backup} = this;
    return (
      backup !== undefined &&
      this.reasonAgainst(attempt, this.chosenFor(backup)) === undefined
    );
  }

  private reasonAgainst(
    {exchange, path}: EndpointAttempt,
    chosen: ChosenEndpoint | undefined,
  ): string | undefined {
    if (path.kind !== PathKind.Direct || !exchange.wasClosedByEndpoint) {
      return 'end of the run not proved';
    }
    if (this.continuations >= MAXIMUM_CONTINUATIONS) {
      return 'continued too often';
    }
    return chosen === undefined ? 'endpoint of the copy not open' : undefined;
  }

  private log(
    event: string,
    {endpoint, exchange}: EndpointAttempt,
    {endpoint: place}: Backup,
    fields: Readonly<Record<string, string>>,
  ): void {
    const {context, directory, record, events} = this.parts;
    events.info(event, {
      request: context.caller.headers.attemptId,
      lost: endpoint.entry.id,
      failure: exchange.failureReason,
      endpoint: place.entry.id,
      endpointTrusted: !place.breaker.isTripped,
      listAgeMilliseconds: Math.round(directory.listAgeMilliseconds),
      lastEvent: record.lastEventId,
      ...fields,
    });
  }
}

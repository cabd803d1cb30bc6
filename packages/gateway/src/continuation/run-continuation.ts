import {
  chooseCopyPlace,
  copiedTokens,
  isWorthBackup,
  type BackupRun,
} from '@wisteriadeal/decisions';
import type {EventLog} from '@wisteriadeal/runtime';

import {RouteKind} from '../configuration.js';
import type {DispatchHeaders} from '../dialect.js';
import type {EndpointAttempt} from '../endpoint-attempt.js';
import type {ChosenEndpoint, EndpointChooser} from '../endpoint-chooser.js';
import type {EndpointDirectory, KnownEndpoint} from '../endpoint-directory.js';
import type {EndpointEntry} from '../endpoint-entry.js';
import {PathKind} from '../endpoint-path.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {RequestContext} from '../request-context.js';
import type {RequestRecord} from '../request-record.js';
import {ContinuationEvent} from './continuation-event.js';
import type {RunCopies} from './run-copies.js';

/** Dependencies of `RunContinuation`. */
export interface RunContinuationParts {
  readonly context: RequestContext;
  readonly record: RequestRecord;
  readonly chooser: EndpointChooser;
  readonly directory: EndpointDirectory;
  readonly copies: RunCopies;
  readonly metrics: GatewayMetrics;
  readonly events: EventLog;
  /** Number of hosts that place copies. */
  readonly hostCount: () => number;
  /** Random number from 0 to below 1. */
  readonly fraction: () => number;
}

/** A copy of the current run at another endpoint. */
interface Backup {
  readonly endpoint: KnownEndpoint;
  /** Identifies the start of the endpoint that has the copy. */
  readonly incarnation: string;
  /** Ends the record of the copy's memory. */
  readonly release: () => void;
}

/** A run that goes on at an endpoint. */
interface Continuation {
  readonly chosen: ChosenEndpoint;
  /** `IP:port/ID` of the copy. */
  readonly copy: string;
}

/**
 * Times that a run goes on at another endpoint. A request whose runs end three
 * endpoints is more likely to be their cause than to be unlucky.
 */
const MAXIMUM_CONTINUATIONS = 2;
/** Events from which the pace of a run is learned. */
const MINIMUM_PACE_EVENTS = 4;

/**
 * Has the run of one request copied to another endpoint while it grows, and goes on
 * there after its endpoint was lost. It stays the same run: it is reserved, charged and
 * billed once, also on routes whose requests may be sent to one endpoint only.
 */
export class RunContinuation {
  private backup: Backup | undefined;
  private next: Continuation | undefined;
  private current: Continuation | undefined;
  private continuations = 0;

  constructor(private readonly parts: RunContinuationParts) {}

  /** Whether the current attempt goes on with a run from a copy. */
  get isContinued(): boolean {
    return this.current !== undefined;
  }

  /** Where the run goes on; undefined if the next attempt begins anew. */
  takeNext(): ChosenEndpoint | undefined {
    this.current = this.next;
    this.next = undefined;
    return this.current?.chosen;
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
    this.backup = canResend ? undefined : this.chooseBackup(chosen, priority);
    return {
      backupAt: this.backup && addressOf(this.backup.endpoint.entry),
      continueFrom: this.current?.copy,
    };
  }

  /**
   * Prepares to go on after the connection of an attempt broke.
   *
   * @param claimResend Takes a resend from the service's budget.
   * @returns Whether the run goes on.
   */
  afterLoss(attempt: EndpointAttempt, claimResend: () => boolean): boolean {
    const {backup} = this;
    if (backup === undefined) {
      return false;
    }
    const chosen = this.chosenFor(backup);
    const reason = this.reasonAgainst(attempt, chosen);
    if (chosen === undefined || reason !== undefined || !claimResend()) {
      this.parts.metrics.continuationEvent(ContinuationEvent.NotContinued);
      this.log('run not continued', attempt, backup, {
        reason: reason ?? 'no resend left',
      });
      return false;
    }
    const {attemptId = ''} = this.parts.context.caller.headers;
    const copy = `${addressOf(backup.endpoint.entry)}/${attemptId}`;
    this.goOn({chosen, copy});
    this.parts.metrics.continuationEvent(ContinuationEvent.Continued);
    this.log('run continued', attempt, backup, {copy});
    return true;
  }

  /** Records that the endpoint of the current attempt has no copy of the run. */
  copyMissing(): void {
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
        (context.caller.headers.promptTokens + this.deliveredTokens) *
        (engine?.bytesPerToken ?? 0);
      record.continuation.copiedBytes += bytes;
      metrics.runCopied(bytes);
      this.backup = undefined;
    }
    this.current = undefined;
  }

  private goOn(continuation: Continuation): void {
    this.continuations++;
    this.next = continuation;
    const {record} = this.parts;
    record.continuation.steps.push({
      endpoint: continuation.chosen.endpoint.entry.id,
      copy: continuation.copy,
      lastEventId: record.lastEventId,
    });
  }

  private chooseBackup(
    {endpoint, path}: ChosenEndpoint,
    priority: number,
  ): Backup | undefined {
    const {context, record, chooser, copies, metrics} = this.parts;
    const {engine, name} = context.service;
    const {headers} = context.caller;
    const mayBeCopied =
      engine?.supportsBackups === true &&
      engine.bytesPerToken !== undefined &&
      context.route.kind === RouteKind.Streaming &&
      !context.isTry &&
      headers.attemptId !== undefined &&
      path.kind === PathKind.Direct;
    if (!mayBeCopied) {
      return undefined;
    }
    const run: BackupRun = {
      lengthHint: headers.lengthHint,
      maximumOutputTokens: headers.maximumOutputTokens,
      deliveredTokens: this.deliveredTokens,
      promptTokens: headers.promptTokens,
      priority,
      tokenMilliseconds: copies.paceOf(name).tokenMilliseconds,
    };
    const {dataCenter, slots} = endpoint.entry;
    const cost = {...engine, bytesPerToken: engine.bytesPerToken, slots};
    if (!isWorthBackup(run, {...cost, isRemote: false})) {
      return undefined;
    }
    const tokens = copiedTokens(run);
    const place = chooseCopyPlace(
      {
        dataCenter,
        tokens,
        memoryTokens: engine.memoryTokens,
        hosts: this.parts.hostCount(),
        fraction: this.parts.fraction(),
      },
      chooser.placesBeside(context, endpoint).map(other => ({
        endpoint: other,
        id: other.entry.id,
        dataCenter: other.entry.dataCenter,
        slots: other.entry.slots,
        load: other.load,
        copiedTokens: copies.tokensAt(other.entry.id),
      })),
    );
    const isRemote = place?.dataCenter !== dataCenter;
    if (place === undefined || !isWorthBackup(run, {...cost, isRemote})) {
      return undefined;
    }
    metrics.continuationEvent(ContinuationEvent.CopyAsked);
    record.continuation.backups.push(place.id);
    return {
      endpoint: place.endpoint,
      incarnation: place.endpoint.incarnation,
      release: copies.add(place.id, tokens),
    };
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

  private get deliveredTokens(): number {
    const {context, record} = this.parts;
    return record.eventsDelivered * (context.service.tokensPerEvent ?? 0);
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

/** The address of an endpoint in headers, `IP:port`. */
function addressOf({address, port}: EndpointEntry): string {
  return `${address}:${port}`;
}

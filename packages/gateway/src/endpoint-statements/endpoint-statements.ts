import {StatementChange, type StatedNumber} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {EndpointEntry} from '../endpoint-entry.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import type {StatedAnswer} from './endpoint-statement.js';
import {StatedConditions} from './stated-conditions.js';

/** Starts of endpoints that are remembered, also while the list does not have them. */
const MAXIMUM_REMEMBERED_STARTS = 4_096;
/** Clocks of endpoints may be ahead of this host's by so much. */
const CLOCK_DIFFERENCE_MILLISECONDS = 500;
/** Endpoints that leave are listed as leaving, or have gone, within this time. */
const LEAVING_MILLISECONDS = 10_000;

/** A number in an answer, under the name that log lines have for it. */
interface NamedNumber extends Omit<StatedAnswer, 'statement'> {
  readonly named: Readonly<Record<string, number | undefined>>;
  readonly value: number | undefined;
}

/**
 * Called with an answer of an endpoint.
 *
 * @param isBrittle Whether the endpoint is brittle, by this and earlier answers.
 * @param sentAt When the request was sent, on the monotonic clock, milliseconds.
 */
type BrittlenessListener = (
  endpoint: KnownEndpoint,
  isBrittle: boolean,
  sentAt: number,
) => void;

/**
 * Takes up what endpoints say of themselves in their answers. It is kept for each start
 * of an endpoint, whose entry may leave the list and come back.
 */
export class EndpointStatements {
  private readonly conditions = new Map<string, StatedConditions>();
  private readonly brittlenessListeners: BrittlenessListener[] = [];

  /** @param onLeaving Called with an endpoint that was not known to leave before. */
  constructor(
    private readonly clock: Clock,
    private readonly events: EventLog,
    private readonly onLeaving: (endpoint: KnownEndpoint) => void,
  ) {}

  /** Adds a listener for each answer that tells whether its endpoint is brittle. */
  onBrittleness(listener: BrittlenessListener): void {
    this.brittlenessListeners.push(listener);
  }

  /** What a start of an endpoint has said. */
  conditionsOf({id, bornAt, build}: EndpointEntry): StatedConditions {
    const start = `${id} ${bornAt} ${build}`;
    const known = this.conditions.get(start) ?? new StatedConditions();
    this.conditions.delete(start);
    this.conditions.set(start, known);
    const [oldest] = this.conditions.keys();
    if (
      oldest !== undefined &&
      this.conditions.size > MAXIMUM_REMEMBERED_STARTS
    ) {
      this.conditions.delete(oldest);
    }
    return known;
  }

  /**
   * What a start has said that the list names in place of another one. Answers that came
   * before the list named it may have been its own.
   */
  conditionsAfter(
    before: KnownEndpoint,
    entry: EndpointEntry,
  ): StatedConditions {
    const conditions = this.conditionsOf(entry);
    const answer = before.conditions.leavingAnswer;
    if (
      answer !== undefined &&
      !before.isConfirmedAt(answer.sentAt) &&
      entry.bornAt <= answer.timeOfDay + CLOCK_DIFFERENCE_MILLISECONDS
    ) {
      conditions.isLeaving = true;
      conditions.assumedLeavingAt = this.clock.monotonicMilliseconds();
      this.events.info('endpoint taken for leaving', {
        endpoint: entry.id,
        reason: 'it may have said so before it was listed',
      });
    }
    return conditions;
  }

  /** Takes up that the list has an endpoint as ready, by a renewed entry. */
  listedAsReady({entry, conditions}: KnownEndpoint): void {
    const {assumedLeavingAt = Infinity} = conditions;
    const assumedMilliseconds =
      this.clock.monotonicMilliseconds() - assumedLeavingAt;
    if (assumedMilliseconds > LEAVING_MILLISECONDS) {
      conditions.isLeaving = false;
      conditions.assumedLeavingAt = undefined;
      this.events.info('endpoint no longer taken for leaving', {
        endpoint: entry.id,
      });
    }
  }

  /** Takes up an answer, before anything of it is passed on. */
  answered(endpoint: KnownEndpoint, answer: StatedAnswer): void {
    this.logIgnored(endpoint, answer);
    const {
      coldMilliseconds = 0,
      keepsLimit,
      keepsBrittleness,
    } = answer.statement;
    endpoint.warmth.stated(
      coldMilliseconds,
      this.clock.monotonicMilliseconds(),
    );
    if (!keepsLimit) {
      this.takeUpLimit(endpoint, answer);
    }
    if (!keepsBrittleness) {
      this.takeUpBrittleness(endpoint, answer);
    }
    this.takeUpLeaving(endpoint, answer);
    this.takeUpRest(endpoint, answer);
  }

  /** Logs each header once for a start, as all its answers may have it. */
  private logIgnored(
    {entry, conditions: {ignoredHeaders}}: KnownEndpoint,
    {statement, request}: StatedAnswer,
  ): void {
    const added = statement.ignoredHeaders.filter(
      name => !ignoredHeaders.has(name),
    );
    for (const name of added) {
      ignoredHeaders.add(name);
    }
    if (added.length > 0) {
      this.events.warn('endpoint headers ignored', {
        endpoint: entry.id,
        request,
        headers: added.join(', '),
      });
    }
  }

  private takeUpLeaving(
    endpoint: KnownEndpoint,
    {statement, sentAt, request}: StatedAnswer,
  ): void {
    const {entry, conditions} = endpoint;
    if (!statement.isLeaving) {
      return;
    }
    conditions.leavingAnswer = {
      sentAt,
      timeOfDay: this.clock.wallMilliseconds(),
    };
    conditions.assumedLeavingAt = undefined;
    if (conditions.isLeaving) {
      return;
    }
    conditions.isLeaving = true;
    this.events.info('endpoint says that it leaves', {
      endpoint: entry.id,
      request,
      isListedAsLeaving: entry.isLeaving,
    });
    if (!entry.isLeaving) {
      this.onLeaving(endpoint);
    }
  }

  private takeUpRest(
    endpoint: KnownEndpoint,
    {statement, sentAt, request}: StatedAnswer,
  ): void {
    const {restMilliseconds} = statement;
    const {rest} = endpoint.conditions;
    const now = this.clock.monotonicMilliseconds();
    if (restMilliseconds === undefined) {
      rest.answered(sentAt);
      return;
    }
    if (rest.remainingMilliseconds(now) === 0) {
      this.events.info('endpoint asks for rest', {
        endpoint: endpoint.entry.id,
        request,
        restMilliseconds,
      });
    }
    endpoint.askedForRest(restMilliseconds, now);
  }

  private takeUpLimit(
    endpoint: KnownEndpoint,
    {statement: {requestsPerSecond}, ...answer}: StatedAnswer,
  ): void {
    const {limit} = endpoint.conditions;
    this.takeUpNumber(endpoint, limit, 'limit', {
      ...answer,
      named: {requestsPerSecond},
      value: requestsPerSecond,
    });
  }

  private takeUpBrittleness(
    endpoint: KnownEndpoint,
    {statement: {refusalsPerSecond}, ...answer}: StatedAnswer,
  ): void {
    const {brittleness} = endpoint.conditions;
    this.takeUpNumber(endpoint, brittleness, 'brittleness', {
      ...answer,
      named: {refusalsPerSecond},
      value: refusalsPerSecond,
    });
    for (const listener of this.brittlenessListeners) {
      listener(endpoint, brittleness.value !== undefined, answer.sentAt);
    }
  }

  private takeUpNumber(
    {entry}: KnownEndpoint,
    stated: StatedNumber,
    what: string,
    {named, value, sentAt, request}: NamedNumber,
  ): void {
    const now = this.clock.monotonicMilliseconds();
    const previous = stated.value;
    const previousAge = stated.ageMilliseconds(now);
    const change = stated.answered(value, sentAt, now);
    if (change !== StatementChange.None) {
      this.events.info(`endpoint ${what} ${change}`, {
        endpoint: entry.id,
        request,
        ...named,
        ...(previous === undefined
          ? {}
          : {previous, previousAgeMilliseconds: Math.round(previousAge)}),
      });
    }
  }
}

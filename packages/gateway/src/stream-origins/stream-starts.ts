import {
  decideOrigin,
  isSameOrigin,
  type OriginEvidence,
  type OriginKnowledge,
  type StreamOrigin,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {CallerExchange} from '../caller-exchange.js';
import {RouteKind, type Route} from '../configuration.js';
import type {EndpointDirectory} from '../endpoint-directory.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import {
  LocalReplyReason,
  notExecutedReply,
  type LocalReply,
} from '../local-reply.js';
import {takeUpMilliseconds, type OriginWatch} from './origin-watch.js';
import {servicesOfRoute} from './route-history.js';
import {StreamBinding, type FirstRun} from './stream-binding.js';
import {streamDigest} from './stream-identity.js';
import type {
  StreamOriginRegistry,
  StreamRequest,
} from './stream-origin-registry.js';
import {TakeUp} from './take-up.js';

/** Dependencies of `StreamStarts`. */
export interface StreamStartsParts {
  readonly registry: StreamOriginRegistry;
  readonly watch: OriginWatch;
  readonly directory: EndpointDirectory;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Retry delay while it is not known what began a stream. */
const UNKNOWN_RETRY_AFTER_MILLISECONDS = 300;
/** Lost endpoints start again within seconds. */
const LOST_RETRY_AFTER_MILLISECONDS = 1_000;
/** The caller may begin the stream anew at once. */
const GONE_RETRY_AFTER_MILLISECONDS = 100;

/** Decides where the streams of requests begin or go on. */
export class StreamStarts {
  constructor(private readonly parts: StreamStartsParts) {}

  /**
   * Resolves with what hosts know of the stream that a caller takes up; undefined
   * if it takes none up.
   */
  async find(
    caller: CallerExchange,
    route: Route | undefined,
  ): Promise<OriginEvidence | undefined> {
    return isTakenUp(caller, route)
      ? this.parts.registry.find(requestOf(caller))
      : undefined;
  }

  /**
   * Decides where a request's stream begins or goes on.
   *
   * @param evidence What hosts know of the stream, if the caller takes one up.
   * @returns What the stream is bound to, if anything, or why it can't go on.
   */
  begin(
    caller: CallerExchange,
    route: Route,
    evidence: OriginEvidence | undefined,
  ): StreamOrigin | LocalReply | undefined {
    if (!isTakenUp(caller, route)) {
      return undefined;
    }
    if (evidence === undefined) {
      // The route has become one of resumable streams since.
      return refusalOf(TakeUp.Unknown);
    }
    const origin = decideOrigin(evidence);
    const result = this.takeUp(origin, route);
    const {metrics, directory, events} = this.parts;
    const {own, answers, isUpToDate} = evidence;
    const knowledge = [own, ...answers];
    const isAdmitted = result === TakeUp.Admitted;
    metrics.streamTakenUp(result);
    events.info(isAdmitted ? 'stream taken up' : 'stream not taken up', {
      request: caller.headers.attemptId,
      resumes: caller.headers.resumedAttemptId,
      result,
      origin: origin && describe(origin),
      isRecorded: knowledge.some(({isRecorded}) => isRecorded),
      possible: possibleOf(knowledge).join(', '),
      answers: answers.length,
      isUpToDate,
      listAgeMilliseconds: Math.round(directory.listAgeMilliseconds),
    });
    return isAdmitted ? origin : refusalOf(result);
  }

  /**
   * The binding of a request's stream.
   *
   * @param origin What began the stream, if the caller takes one up.
   * @param deadlineAt When the caller stops waiting, on the monotonic clock in
   *     milliseconds.
   */
  bindingOf(
    caller: CallerExchange,
    origin: StreamOrigin | undefined,
    deadlineAt: number,
    route: Route,
  ): StreamBinding {
    const {registry, clock, directory} = this.parts;
    const onFirstEvent = (run: FirstRun) => {
      const request = requestOf(caller);
      if (!route.resumable || request.stream === '') {
        return;
      }
      const endsAt = Math.max(deadlineAt, clock.monotonicMilliseconds());
      const keptUntil = endsAt + takeUpMilliseconds(route);
      if (origin === undefined) {
        registry.began(request, run, keptUntil);
      } else {
        registry.wentOn(request, origin, keptUntil);
      }
    };
    return new StreamBinding(origin, onFirstEvent, () => directory.isReadable);
  }

  private takeUp(origin: StreamOrigin | undefined, route: Route): TakeUp {
    if (origin === undefined) {
      return TakeUp.Unknown;
    }
    if (!servicesOfRoute(route).includes(origin.service)) {
      return TakeUp.Gone;
    }
    const {directory, watch} = this.parts;
    const isServed = directory
      .openEndpoints(origin.service)
      .some(({entry}) => isSameOrigin(entry, origin));
    if (isServed) {
      return TakeUp.Admitted;
    }
    return watch.mayReturn(origin) ? TakeUp.Lost : TakeUp.Gone;
  }
}

/** Whether a request goes on with a stream of a route. */
function isTakenUp(
  {headers}: CallerExchange,
  route: Route | undefined,
): boolean {
  return (
    (headers.lastEventId ?? '') !== '' &&
    route?.kind === RouteKind.Streaming &&
    route.resumable
  );
}

/** The stream of a request: that which it takes up, or the one that it begins. */
function requestOf(caller: CallerExchange): StreamRequest {
  const {attemptId, resumedAttemptId, lastEventId, host} = caller.headers;
  const isTakenUp = (lastEventId ?? '') !== '';
  const first = isTakenUp ? resumedAttemptId : attemptId;
  return {
    stream: first === undefined ? '' : streamDigest(first, caller),
    host,
    path: caller.path,
  };
}

function refusalOf(result: TakeUp): LocalReply {
  switch (result) {
    case TakeUp.Gone:
      return notExecutedReply(
        LocalReplyReason.BuildGone,
        GONE_RETRY_AFTER_MILLISECONDS,
      );
    case TakeUp.Lost:
      return notExecutedReply(
        LocalReplyReason.BuildLost,
        LOST_RETRY_AFTER_MILLISECONDS,
      );
    default:
      return notExecutedReply(
        LocalReplyReason.OriginUnknown,
        UNKNOWN_RETRY_AFTER_MILLISECONDS,
      );
  }
}

function possibleOf(knowledge: readonly OriginKnowledge[]): readonly string[] {
  return [
    ...new Set(knowledge.flatMap(({possible}) => possible.map(describe))),
  ];
}

function describe({service, build}: StreamOrigin): string {
  return `${service} ${build}`;
}

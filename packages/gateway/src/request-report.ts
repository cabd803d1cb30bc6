import type {EventFields} from '@wisteriadeal/runtime';

import {describeAdmission} from './admission/index.js';
import type {CallerExchange} from './caller-exchange.js';
import {maximumTokens} from './request-context.js';
import {
  describeAttempt,
  type PlacementRecord,
  type RequestRecord,
} from './request-record.js';

/** What a log line says of a request beside its record. */
export interface RequestReport {
  /** Version of the configuration in force; undefined if there is none. */
  readonly configuration: number | undefined;
  readonly durationMilliseconds: number;
}

/** The fields of the log line of a request that has ended. */
export function describeRequest(
  caller: CallerExchange,
  record: RequestRecord,
  {configuration, durationMilliseconds}: RequestReport,
): EventFields {
  const {headers} = caller;
  const {identity, suspicion} = record;
  return {
    request: headers.attemptId,
    path: caller.path,
    isFirst: caller.isFirst,
    resumes: headers.resumedAttemptId,
    lastEvent: headers.lastEventId,
    outcome: record.outcome,
    status: record.status,
    tookMilliseconds: Math.round(durationMilliseconds),
    unseenMilliseconds: Math.round(caller.unseenMilliseconds),
    organisation: record.organisation,
    bound: maximumTokens(caller),
    used: record.chargedTokens,
    events: record.eventsDelivered,
    firstEventMilliseconds: sinceArrival(record.firstEventAt, caller),
    longestPauseMilliseconds: Math.round(record.longestPauseMilliseconds),
    waitedForPlaceMilliseconds: Math.round(record.placeWaitMilliseconds),
    waitedForTokensMilliseconds: Math.round(record.tokenWaitMilliseconds),
    configuration,
    identity,
    promptParts:
      identity === undefined
        ? undefined
        : headers.promptParts.map(({id}) => id).join(', '),
    suspects: suspicion?.suspects.join(', '),
    crashed: suspicion?.endpoints.join(', '),
    ...describeAdmission(record.admission),
    ...describePlacement(record.placement),
    ...record.continuation.describe(),
    attempts: record.attempts.map(describeAttempt).join('; '),
  };
}

/** The fields on the latest choice of an endpoint. */
function describePlacement(
  placement: PlacementRecord | undefined,
): EventFields {
  if (placement === undefined) {
    return {};
  }
  const {
    evacuated,
    evacuationsAgeMilliseconds,
    cold,
    withheld,
    isCold,
    inNeed,
  } = placement;
  return {
    believed: placement.belief,
    ...(inNeed.length === 0 ? {} : {inNeed: inNeed.join(', ')}),
    ...(evacuated.length === 0
      ? {}
      : {
          evacuated: evacuated.join(', '),
          evacuationsAgeMilliseconds: Math.round(evacuationsAgeMilliseconds),
        }),
    ...(cold === 0
      ? {}
      : {coldEndpoints: cold, coldWithheld: withheld, sentToCold: isCold}),
  };
}

function sinceArrival(
  at: number | undefined,
  caller: CallerExchange,
): number | undefined {
  return at === undefined ? undefined : Math.round(at - caller.arrivedAt);
}

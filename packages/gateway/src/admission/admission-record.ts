import type {AdmissionBelief, AdmissionVerdict} from '@wisteriadeal/decisions';
import type {EventFields} from '@wisteriadeal/runtime';

/** How a request was admitted or refused before its first attempt. */
export interface AdmissionRecord {
  readonly verdict: AdmissionVerdict;
  /** Time in the queue, milliseconds. */
  readonly queuedMilliseconds: number;
  readonly isReturning: boolean;
  readonly belief: AdmissionBelief;
}

/** The fields of a request's log line, if the host did not send everything. */
export function describeAdmission(
  record: AdmissionRecord | undefined,
): EventFields {
  if (record === undefined) {
    return {};
  }
  const {verdict, queuedMilliseconds, isReturning, belief} = record;
  if (belief.admittedShare >= 1 && queuedMilliseconds === 0) {
    return {};
  }
  return {
    admission: verdict,
    admittedShare: Number(belief.admittedShare.toFixed(3)),
    expectedBeginMilliseconds: Math.round(belief.expectedMilliseconds),
    beginsObserved: belief.observations,
    beginsAgeMilliseconds: Math.round(belief.ageMilliseconds),
    queuedMilliseconds: Math.round(queuedMilliseconds),
    isReturning,
  };
}

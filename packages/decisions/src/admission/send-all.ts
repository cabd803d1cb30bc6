import {
  AdmissionVerdict,
  EngineAdmission,
  type AdmissionDecision,
  type AdmissionRequest,
  type DecidedRequest,
} from './engine-admission.js';

/** The decision of a host that knows nothing. */
export const SEND_ALL: AdmissionDecision = {
  verdict: AdmissionVerdict.Send,
  retryAfterMilliseconds: 0,
  belief: {
    admittedShare: 1,
    expectedMilliseconds: 0,
    observations: 0,
    ageMilliseconds: 0,
  },
};

/** Baseline: sends everything, in order of arrival. */
export class SendAll extends EngineAdmission<AdmissionRequest> {
  override offer(): AdmissionDecision {
    return SEND_ALL;
  }

  override advance(): readonly DecidedRequest<AdmissionRequest>[] {
    return [];
  }

  override remove(): void {
    // Nothing is queued.
  }

  override sent(): void {
    // Nothing is observed.
  }

  override began(): void {
    // Nothing is observed.
  }

  override refused(): void {
    // Nothing is observed.
  }

  override ended(): void {
    // Nothing is observed.
  }
}

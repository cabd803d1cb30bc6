import type {
  AdmissionRequest,
  EngineAdmission,
  SentRequest,
} from '@wisteriadeal/decisions';

/** Reports one attempt at an engine to the admission of its service. */
export class AttemptObservation {
  constructor(
    private readonly admission: EngineAdmission<AdmissionRequest>,
    private readonly request: SentRequest,
  ) {
    admission.sent(request);
  }

  /** Records the first event, or the head of a buffered answer. */
  began(now: number): void {
    this.admission.began(this.request, now);
  }

  /** Records that the engine refused the request as not run. */
  refused(now: number): void {
    this.admission.refused(this.request, now);
  }

  /** Records the attempt's end; must be called exactly once. */
  close(): void {
    this.admission.ended(this.request);
  }
}

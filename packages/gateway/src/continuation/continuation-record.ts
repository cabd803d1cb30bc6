import type {EventFields} from '@wisteriadeal/runtime';

/** One try to go on with a run from a copy. */
export interface ContinuationStep {
  readonly endpoint: string;
  /** `IP:port/ID` of the copy. */
  readonly copy: string;
  /** Identifier of the last event delivered before; undefined if there was none. */
  readonly lastEventId: string | undefined;
}

/** Copies of a request's run and where it went on, for its log line. */
export class ContinuationRecord {
  /** Endpoints to which the run was copied, oldest first. */
  readonly backups: string[] = [];
  /** Bytes copied by the tokens that the run had at its end, an estimate. */
  copiedBytes = 0;
  readonly steps: ContinuationStep[] = [];

  /** The fields of the request's log line; none if it had no copy. */
  describe(): EventFields {
    if (this.backups.length === 0 && this.steps.length === 0) {
      return {};
    }
    return {
      backups: this.backups.join(', '),
      copiedBytes: Math.round(this.copiedBytes),
      continued: this.steps
        .map(
          ({endpoint, copy, lastEventId}) =>
            `${endpoint} from ${copy} after ${lastEventId ?? 'no event'}`,
        )
        .join('; '),
    };
  }
}

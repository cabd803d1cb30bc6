import type {EventFields} from '@wisteriadeal/runtime';

/** One try to go on with a run from a copy. */
export interface ContinuationStep {
  readonly endpoint: string;
  /** `IP:port/ID` of the copy. */
  readonly copy: string;
  /** Identifier of the last event delivered before; undefined if there was none. */
  readonly lastEventId: string | undefined;
}

/** A call that stops a run to move it. */
export interface MoveStep {
  readonly from: string;
  readonly to: string;
  /** What the endpoint answered; undefined as long as it has not. */
  result: string | undefined;
}

/** Copies of a request's run and where it went on, for its log line. */
export class ContinuationRecord {
  /** Endpoints to which the run was copied, oldest first. */
  readonly backups: string[] = [];
  /** Bytes copied by the tokens that the run had at its end, an estimate. */
  copiedBytes = 0;
  readonly steps: ContinuationStep[] = [];
  readonly moves: MoveStep[] = [];

  /** The fields of the request's log line; none if its run was never copied or moved. */
  describe(): EventFields {
    const {backups, steps, moves} = this;
    if (backups.length + steps.length + moves.length === 0) {
      return {};
    }
    return {
      backups: backups.join(', '),
      copiedBytes: Math.round(this.copiedBytes),
      moves: moves
        .map(
          ({from, to, result}) =>
            `${from} to ${to}: ${result ?? 'not answered'}`,
        )
        .join('; '),
      continued: steps
        .map(
          ({endpoint, copy, lastEventId}) =>
            `${endpoint} from ${copy} after ${lastEventId ?? 'no event'}`,
        )
        .join('; '),
    };
  }
}

import {HostLink} from '@wisteriadeal/platform';

/** A host link whose delay a test sets, and which records its calls. */
export class FakeHostLink extends HostLink {
  override delayMilliseconds = 0;
  /** Durations reported by `arrived`, milliseconds. */
  readonly arrivals: number[] = [];
  /** Durations reported by `expired`, milliseconds. */
  readonly expiries: number[] = [];

  /** Size of the largest answer that can be transferred in time, bytes. */
  answerByteLimit = Infinity;
  /** Durations passed to `maximumAnswerBytes`, milliseconds. */
  readonly answerBytesQueries: number[] = [];

  override get isCongested(): boolean {
    return this.delayMilliseconds > 0;
  }

  override get isLate(): boolean {
    return this.isCongested;
  }

  override maximumAnswerBytes(milliseconds: number): number {
    this.answerBytesQueries.push(milliseconds);
    return this.answerByteLimit;
  }

  override recordConnection(): void {
    // Not recorded: `arrivals` and `expiries` suffice for tests.
  }

  override recordArrival(milliseconds: number): void {
    this.arrivals.push(milliseconds);
  }

  override recordTimeout(milliseconds: number): void {
    this.expiries.push(milliseconds);
  }
}

import {HostLink} from '@wisteriadeal/platform';

/** A host link whose delay a test sets, and which records its calls. */
export class FakeHostLink extends HostLink {
  override delayMilliseconds = 0;
  /** Durations passed to `recordArrival`, in milliseconds. */
  readonly arrivals: number[] = [];
  /** Durations passed to `recordTimeout`, in milliseconds. */
  readonly expiries: number[] = [];

  /** Result of `maximumAnswerBytes`, in bytes. */
  answerByteLimit = Infinity;
  /** Durations passed to `maximumAnswerBytes`, in milliseconds. */
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

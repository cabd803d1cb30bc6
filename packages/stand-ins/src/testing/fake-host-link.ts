import {HostLink} from '@wisteriadeal/platform';

/** A host link whose delay a test sets, and which records its calls. */
export class FakeHostLink extends HostLink {
  override delayMilliseconds = 0;
  /** Durations reported by `arrived`, milliseconds. */
  readonly arrivals: number[] = [];
  /** Durations reported by `expired`, milliseconds. */
  readonly expiries: number[] = [];

  /** Size of the largest answer that can be transferred in time, bytes. */
  mostAnswerBytes = Infinity;
  /** Durations passed to `answerBytes`, milliseconds. */
  readonly answerLimits: number[] = [];

  override get isCongested(): boolean {
    return this.delayMilliseconds > 0;
  }

  override get isLate(): boolean {
    return this.isCongested;
  }

  override answerBytes(milliseconds: number): number {
    this.answerLimits.push(milliseconds);
    return this.mostAnswerBytes;
  }

  override connected(): void {
    // Not recorded: `arrivals` and `expiries` suffice for tests.
  }

  override arrived(milliseconds: number): void {
    this.arrivals.push(milliseconds);
  }

  override expired(milliseconds: number): void {
    this.expiries.push(milliseconds);
  }
}

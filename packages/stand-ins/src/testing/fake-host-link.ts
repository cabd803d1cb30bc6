import {HostLink} from '@wisteriadeal/platform';

/** A link whose delay a test sets; it keeps what it is told. */
export class FakeHostLink extends HostLink {
  override delayMilliseconds = 0;
  /** How long that took which came, and that which did not, milliseconds. */
  readonly arrivals: number[] = [];
  readonly expiries: number[] = [];

  /** The largest answer that crosses in time. */
  mostAnswerBytes = Infinity;
  /** The times that it was asked for, milliseconds. */
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
    // Arrivals and expiries tell it, too.
  }

  override arrived(milliseconds: number): void {
    this.arrivals.push(milliseconds);
  }

  override expired(milliseconds: number): void {
    this.expiries.push(milliseconds);
  }
}

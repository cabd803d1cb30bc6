/** Part of the difference by which the level falls with one lower sample. */
const FALL_PART = 0.3;
/** Time in which the level rises to higher samples, milliseconds. */
const RISE_MILLISECONDS = 30_000;

/**
 * Follows the lower end of samples: what they are without waiting. It falls quickly and
 * rises slowly, so that a few seconds of overload don't count as usual.
 */
export class LowLevel {
  private level: number | undefined;
  private at = 0;

  /** @param initial The level before the first sample. */
  constructor(private readonly initial: number) {}

  get value(): number {
    return this.level ?? this.initial;
  }

  observe(sample: number, now: number): void {
    const {level = sample} = this;
    const part =
      sample < level
        ? FALL_PART
        : Math.min(1, Math.max(0, now - this.at) / RISE_MILLISECONDS);
    this.level = level + part * (sample - level);
    this.at = now;
  }
}

/**
 * The host's own inbound link, as calls of the host need to know it: what comes in over
 * a full link is late, whatever the peer does.
 *
 * @example
 * ```ts
 * const timeout = new NetworkTimeout(120 + link.delayMilliseconds, giveUp);
 * ```
 */
export abstract class HostLink {
  /** How long what comes in waits at the link; 0 while it is free, milliseconds. */
  abstract get delayMilliseconds(): number;

  /** Whether the link is full or was so recently: lateness says nothing of peers. */
  abstract get isCongested(): boolean;

  /** Largest answer that crosses the link within a time; Infinity while it is free. */
  abstract answerBytes(milliseconds: number): number;

  /** Whether the link is congested, and nothing has come without delay lately. */
  abstract get isLate(): boolean;

  /** A connection came, or had not come, after so long. */
  abstract connected(milliseconds: number): void;

  /** What a peer sends without delay came after so long. */
  abstract arrived(milliseconds: number): void;

  /** It had not come after so long, and is not waited for any longer. */
  abstract expired(milliseconds: number): void;
}

/** A link at which nothing waits. */
export class FreeLink extends HostLink {
  override readonly delayMilliseconds: number = 0;
  override readonly isCongested = false;
  override readonly isLate = false;

  override connected(): void {
    // Nothing depends on it.
  }

  override answerBytes(): number {
    return Infinity;
  }

  override arrived(): void {
    // Nothing depends on it.
  }

  override expired(): void {
    // Nothing depends on it.
  }
}

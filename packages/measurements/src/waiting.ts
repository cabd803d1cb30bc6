const LOOK_MILLISECONDS = 50;

/** Resolves after a delay. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/**
 * Looks again and again until something holds.
 *
 * @returns False where it did not hold in time.
 */
export async function waitUntil(
  holds: () => Promise<boolean>,
  limitMilliseconds: number,
): Promise<boolean> {
  const limit = performance.now() + limitMilliseconds;
  while (performance.now() < limit) {
    if (await holds()) {
      return true;
    }
    await pause(LOOK_MILLISECONDS);
  }
  return false;
}

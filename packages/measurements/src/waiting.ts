const POLL_INTERVAL_MILLISECONDS = 50;

/** Resolves after a delay in milliseconds. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/**
 * Polls a condition every 50 ms until it is true.
 *
 * @returns False if the time limit was reached first.
 */
export async function waitUntil(
  condition: () => Promise<boolean>,
  limitMilliseconds: number,
): Promise<boolean> {
  const deadline = performance.now() + limitMilliseconds;
  while (performance.now() < deadline) {
    if (await condition()) {
      return true;
    }
    await pause(POLL_INTERVAL_MILLISECONDS);
  }
  return false;
}

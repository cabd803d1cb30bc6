/** Resolves after a time, milliseconds. */
export function delay(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Resolves when a condition holds; rejects after a time. */
export async function waitUntil(holds, milliseconds, what) {
  const until = performance.now() + milliseconds;
  while (!holds()) {
    if (performance.now() > until) {
      throw new Error(`timed out: ${what}`);
    }
    await delay(10);
  }
}

/** Resolves in the next turn of the event loop. */
export function nextEventLoopTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

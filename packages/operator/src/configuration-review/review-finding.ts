import type {Path} from '../configuration-problem.js';

/** How much a finding matters. */
export enum FindingSeverity {
  /** Requests fail or a stated value has no effect at all. */
  Error = 'error',
  /** Accepted and applied, but probably not what was meant. */
  Warning = 'warning',
}

/** One finding of a review. */
export interface ReviewFinding {
  readonly severity: FindingSeverity;
  /** List and name, such as `route chat`. */
  readonly entry: string;
  /** Keys and list indexes that lead from the root to the value. */
  readonly path: Path;
  /** The value that was found. It never contains a key or a credential. */
  readonly found: string;
  readonly expected: string;
}

/** For each entry, the first earlier one with the same key, or undefined. */
export function firstWithKey<Entry>(
  entries: readonly Entry[],
  keyOf: (entry: Entry) => string,
): readonly (Entry | undefined)[] {
  const firsts = new Map<string, Entry>();
  return entries.map(entry => {
    const first = firsts.get(keyOf(entry));
    if (first === undefined) {
      firsts.set(keyOf(entry), entry);
    }
    return first;
  });
}

/** A JSON value of a result. */
export type ResultValue =
  | string
  | number
  | boolean
  | null
  | readonly ResultValue[]
  | {readonly [key: string]: ResultValue};

/** What a case found. */
export interface CaseResult {
  /** Printed as one JSON line. */
  readonly fields: Readonly<Record<string, ResultValue>>;
  /** False where a promise was broken. */
  readonly passed: boolean;
}

/**
 * One named failure or load case. It ends by itself, uses loopback only, and
 * leaves nothing running.
 */
export abstract class MeasureCase {
  /** As given on the command line. */
  abstract readonly name: string;

  /** One line for `--list`: what happens, and what is scaled. */
  abstract readonly description: string;

  /**
   * Runs the case.
   *
   * @param seed Seeds every choice of the case.
   */
  abstract run(seed: number): Promise<CaseResult>;
}

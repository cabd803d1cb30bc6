/** A JSON value in a case's result. */
export type ResultValue =
  | string
  | number
  | boolean
  | null
  | readonly ResultValue[]
  | {readonly [key: string]: ResultValue};

/** The result of a case. */
export interface CaseResult {
  /** The fields of the JSON result line. */
  readonly fields: Readonly<Record<string, ResultValue>>;
  /** False if an invariant was violated or a goal missed. */
  readonly passed: boolean;
}

/**
 * A named failure or load case. It terminates without user input, uses only the
 * loopback interface, and leaves no process running.
 */
export abstract class MeasureCase {
  /** The name that selects the case on the command line. */
  abstract readonly name: string;

  /** One line for `--list`: the load and faults, and which times are scaled. */
  abstract readonly description: string;

  /**
   * Runs the case.
   *
   * @param seed Seed of all random choices in the case.
   */
  abstract run(seed: number): Promise<CaseResult>;
}

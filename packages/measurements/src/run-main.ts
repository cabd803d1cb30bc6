import type {MeasureCase} from './measure-case.js';

/** A case that takes longer than this fails. */
const CASE_TIMEOUT_MILLISECONDS = 180_000;

/**
 * Runs a case, prints its result as the last line of standard output, and sets the exit
 * code: 0 only if the case passed.
 */
export async function runMain(
  measureCase: MeasureCase,
  seed: number,
): Promise<void> {
  const timer = setTimeout(() => {
    process.stderr.write(
      `${measureCase.name} did not finish within the time limit\n`,
    );
    process.exit(1);
  }, CASE_TIMEOUT_MILLISECONDS);
  const startedAt = performance.now();
  try {
    const {fields, passed} = await measureCase.run(seed);
    const seconds = Math.round(performance.now() - startedAt) / 1_000;
    const resultLine = {
      name: measureCase.name,
      seed,
      passed,
      ...fields,
      seconds,
    };
    process.stdout.write(`${JSON.stringify(resultLine)}\n`);
    process.exitCode = passed ? 0 : 1;
  } catch (error) {
    process.stderr.write(`${measureCase.name}: ${String(error)}\n`);
    process.exitCode = 1;
  } finally {
    clearTimeout(timer);
  }
}

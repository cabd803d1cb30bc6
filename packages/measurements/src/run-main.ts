import type {MeasureCase} from './measure-case.js';

/** No case may take longer; one that does has failed. */
const LIMIT_MILLISECONDS = 180_000;

/**
 * Runs a case, prints its result as the last line of standard output, and sets
 * the exit code: 0 only where every promise held.
 */
export async function runMain(
  measureCase: MeasureCase,
  seed: number,
): Promise<void> {
  const timer = setTimeout(() => {
    process.stderr.write(`${measureCase.name} took too long\n`);
    process.exit(1);
  }, LIMIT_MILLISECONDS);
  const startedAt = performance.now();
  try {
    const {fields, passed} = await measureCase.run(seed);
    const seconds = Math.round(performance.now() - startedAt) / 1_000;
    const line = {name: measureCase.name, seed, passed, ...fields, seconds};
    process.stdout.write(`${JSON.stringify(line)}\n`);
    process.exitCode = passed ? 0 : 1;
  } catch (error) {
    process.stderr.write(`${measureCase.name}: ${String(error)}\n`);
    process.exitCode = 1;
  } finally {
    clearTimeout(timer);
  }
}

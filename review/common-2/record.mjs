import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** What was sent, answered and run; written to `record.txt` in the folder of a case. */
export class Record {
  lines = [];
  startedAt = performance.now();

  constructor(folder) {
    this.file = join(folder, 'record.txt');
  }

  note(text) {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    this.lines.push(`${at.padStart(8)} ${text}`);
  }

  /** Adds a line that is printed as well. */
  say(text) {
    this.note(text);
    console.log(text);
  }

  write() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Runs a case and ends the process with its result. */
export async function runCase(folder, run, close) {
  const record = new Record(folder);
  let code = COULD_NOT_RUN;
  try {
    code = await run(record);
  } catch (error) {
    record.say(`could not run: ${error.stack ?? error}`);
  }
  try {
    await close();
  } finally {
    record.say(`exit ${code}`);
    record.write();
    process.exit(code);
  }
}

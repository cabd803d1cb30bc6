import {Config, type Command} from '@oclif/core';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {vi} from 'vitest';

type CommandClass = new (argv: string[], config: Config) => Command;

/** Exit code and output of one command run. */
export interface CommandRun {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

interface RunnableCommand {
  _run(): Promise<unknown>;
}

const ROOT = new URL('../..', import.meta.url).pathname;

function currentExitCode(): number {
  return Number(process.exitCode ?? 0);
}

/** Runs a command in this process and captures its output. */
export async function runCommand(
  CommandType: CommandClass,
  id: string,
  ...argv: string[]
): Promise<CommandRun> {
  const captured = {output: '', errors: ''};
  const captureTo = (key: keyof typeof captured) => (text: unknown) => {
    captured[key] += `${String(text)}\n`;
  };
  const spies = [
    vi.spyOn(console, 'log').mockImplementation(captureTo('output')),
    vi.spyOn(console, 'error').mockImplementation(captureTo('errors')),
    vi.spyOn(process.stderr, 'write').mockReturnValue(true),
  ];
  process.exitCode = undefined;
  try {
    const config = new Config({root: ROOT});
    config.bin = 'wisteriadeal';
    // `config` isn't loaded, since loading needs the built package. Hooks are
    // only available after loading; this package defines none.
    config.runHook = () => Promise.resolve({successes: [], failures: []});
    const command = new CommandType(argv, config);
    command.id = id;
    await (command as unknown as RunnableCommand)._run();
    return {exitCode: currentExitCode(), ...captured};
  } finally {
    process.exitCode = undefined;
    spies.forEach(spy => {
      spy.mockRestore();
    });
  }
}

/** Creates a temporary directory with files; `close` removes it. */
export function temporaryFiles(files: Readonly<Record<string, string>>) {
  const directory = mkdtempSync(join(tmpdir(), 'wisteriadeal-'));
  for (const [name, text] of Object.entries(files)) {
    writeFileSync(join(directory, name), text);
  }
  return {
    path: (name: string) => join(directory, name),
    close: () => {
      rmSync(directory, {recursive: true});
    },
  };
}

import {Command, Flags, ux} from '@oclif/core';
import {ExitCode} from '@wisteriadeal/runtime';

import {asCommandError, CommandError} from './command-error.js';
import {
  DEFAULT_SETTINGS_FILE,
  loadCommandSettings,
} from './command-settings.js';
import {connect, type Connections} from './connections.js';

/** What oclif adds to its messages; the next step says it here. */
const OCLIF_HELP_HINT = /\nSee more help with --help$/;

/** Flags of every command that reaches the platform or a process. */
export const settingsFlag = Flags.string({
  description: 'settings file of the command line',
  default: DEFAULT_SETTINGS_FILE,
  env: 'WISTERIADEAL_SETTINGS',
});

/** What all commands share: `--json`, exit codes and clean-up. */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true;

  /** What to do where an answer was lost; commands that write say more. */
  protected retryHint = 'Run the same line again.';

  /** Connects by a settings file, and closes what was opened at the end. */
  protected async withConnections<Result>(
    settingsFile: string,
    work: (connections: Connections) => Promise<Result>,
  ): Promise<Result> {
    const connections = connect(loadCommandSettings(settingsFile));
    try {
      return await work(connections);
    } finally {
      await connections.close();
    }
  }

  /** Shows on standard error that something takes its time. */
  protected async withProgress<Result>(
    action: string,
    work: Promise<Result>,
  ): Promise<Result> {
    if (this.jsonEnabled()) {
      return work;
    }
    ux.action.start(action);
    const result = await work;
    ux.action.stop();
    return result;
  }

  protected override catch(error: Error): Promise<void> {
    this.report(this.asCommandError(error));
    return Promise.resolve();
  }

  private asCommandError(thrown: Error): CommandError {
    const error = asCommandError(thrown, this.retryHint);
    if (error instanceof CommandError) {
      return error;
    }
    return this.parsed
      ? new CommandError(
          ExitCode.Failure,
          thrown.stack ?? thrown.message,
          'This is a fault of the command line; please report it with the line that you ran.',
        )
      : new CommandError(
          ExitCode.Usage,
          thrown.message.replace(OCLIF_HELP_HINT, ''),
          `Run "wisteriadeal ${(this.id ?? '').replace(':', ' ')} --help".`,
        );
  }

  private report({exitCode, message, nextStep}: CommandError): void {
    process.exitCode = exitCode;
    if (this.jsonEnabled()) {
      this.logJson({error: {exitCode, message, nextStep}});
      return;
    }
    if (ux.action.running) {
      ux.action.stop('failed');
    }
    this.logToStderr(message);
    this.logToStderr(`Next: ${nextStep}`);
  }
}

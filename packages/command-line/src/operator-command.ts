import {Command, Flags, ux} from '@oclif/core';
import {ExitCode} from '@wisteriadeal/runtime';

import {asCommandError, CommandError} from './command-error.js';
import {
  DEFAULT_SETTINGS_FILE,
  loadCommandSettings,
} from './command-settings.js';
import {connect, type Connections} from './connections.js';

/** A hint that oclif appends to its messages; `nextStep` replaces it. */
const OCLIF_HELP_HINT = /\nSee more help with --help$/;

/** The `--settings` flag of commands that connect to the platform. */
export const settingsFlag = Flags.string({
  description: 'settings file of the command line',
  default: DEFAULT_SETTINGS_FILE,
  env: 'WISTERIADEAL_SETTINGS',
});

/**
 * Base class of all commands: `--json`, exit codes and closing of connections.
 */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true;

  /**
   * Next step if a response was lost; commands that write override it to say
   * which flags make the repeat safe.
   */
  protected retryHint = 'Run the same command again.';

  /**
   * Connects as a settings file says, and closes the connections after `work`.
   */
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

  /** Shows a progress message on standard error; none with `--json`. */
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
          'This is a bug in the command line; please report it with the command that you ran.',
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

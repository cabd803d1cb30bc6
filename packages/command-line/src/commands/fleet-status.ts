import {readConfiguration} from '@wisteriadeal/operator';
import {StepError} from '@wisteriadeal/platform';
import {ExitCode} from '@wisteriadeal/runtime';

import {CommandError} from '../command-error.js';
import type {Connections} from '../connections.js';
import {
  listFleetProcesses,
  queryProcesses,
  type ProcessAnswer,
} from '../fleet-processes.js';
import {OperatorCommand, settingsFlag} from '../operator-command.js';
import {formatTable} from '../text-format.js';

/** Enough for the configuration version; lists are truncated. */
const STATUS_DUMP_BYTES = 16_384;

function versionOf(answer: ProcessAnswer): number | undefined {
  const state = answer.answer as {configurationVersion?: number} | undefined;
  return state?.configurationVersion;
}

async function versionOnLog({log}: Connections): Promise<number | undefined> {
  try {
    return (await readConfiguration(log)).version;
  } catch (error) {
    if (error instanceof StepError) {
      return undefined;
    }
    throw error;
  }
}

export class FleetStatus extends OperatorCommand {
  static override summary =
    'Show every process and the configuration version that it applies';
  static override examples = ['<%= config.bin %> fleet status --json'];
  static override flags = {settings: settingsFlag};

  override async run() {
    const {flags} = await this.parse(FleetStatus);
    return this.withConnections(flags.settings, async connections => {
      const version = await versionOnLog(connections);
      const answers = await this.withProgress(
        'Asking the fleet',
        queryProcesses(await listFleetProcesses(connections), client =>
          client.dump(STATUS_DUMP_BYTES),
        ),
      );
      if (answers.length === 0) {
        throw new CommandError(
          ExitCode.NotFound,
          "The platform's host list is empty",
          'Start an entry host, or check the platform.',
        );
      }
      const processes = answers.map(answer => ({
        dataCenter: answer.dataCenter,
        host: answer.host,
        process: answer.process,
        state: answer.state,
        address: answer.address,
        configurationVersion: versionOf(answer) ?? null,
        failure: answer.failure ?? null,
      }));
      this.log(
        version === undefined
          ? 'The log can not be read now.'
          : `Version ${version} is in force according to the log.`,
      );
      this.log(
        formatTable(
          ['data centre', 'host', 'process', 'state', 'address', 'version'],
          processes.map(row => [
            row.dataCenter,
            row.host,
            row.process,
            row.state,
            row.address,
            row.failure === null
              ? String(row.configurationVersion ?? 'unknown')
              : `not reached: ${row.failure}`,
          ]),
        ),
      );
      return {versionOnLog: version ?? null, processes};
    });
  }
}

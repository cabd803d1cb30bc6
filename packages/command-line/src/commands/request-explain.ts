import {Args} from '@oclif/core';
import {ExitCode} from '@wisteriadeal/runtime';

import {CommandError} from '../command-error.js';
import {listFleetProcesses, queryProcesses} from '../fleet-processes.js';
import {OperatorCommand, settingsFlag} from '../operator-command.js';
import {formatValue} from '../text-format.js';
import {findRequestEntries} from '../request-entries.js';

/** Shows what happened to a request. */
export class RequestExplain extends OperatorCommand {
  static override summary = 'Show step by step what happened to a request';
  static override description =
    'Asks each process, and searches the ledger in the log for the claim and the bill of the request.';
  static override examples = [
    '<%= config.bin %> request explain req_0f3a9c1d5e7b2468ace013579bdf2468',
  ];
  static override args = {
    request: Args.string({
      description: 'the identifier in the X-Request-Id header of the answer',
      required: true,
    }),
  };
  static override flags = {settings: settingsFlag};

  override async run() {
    const {args, flags} = await this.parse(RequestExplain);
    const requestId = args.request;
    return this.withConnections(flags.settings, async connections => {
      const answers = await this.withProgress(
        'Asking the fleet',
        queryProcesses(await listFleetProcesses(connections), client =>
          client.explainRequest(requestId),
        ),
      );
      const entries = await this.withProgress(
        'Searching the ledger',
        findRequestEntries(
          connections.log,
          connections.settings.ledgerStreams,
          requestId,
        ),
      );
      const processesWithRequest = answers.filter(
        ({answer}) => answer !== undefined,
      );
      const unreachableProcesses = answers.filter(
        ({failure}) => failure !== undefined,
      );
      if (processesWithRequest.length === 0 && entries.length === 0) {
        throw new CommandError(
          ExitCode.NotFound,
          `No data found on ${requestId} (${unreachableProcesses.length} of ${answers.length} processes were not reached)`,
          'Check the identifier. A refused request is recorded only in the log lines of its router.',
        );
      }
      for (const {host, process, answer} of processesWithRequest) {
        this.log(`${host} ${process}:\n${formatValue(answer)}\n`);
      }
      for (const entry of entries) {
        this.log(
          `${entry.stream} offset ${entry.offset}, ${entry.kind}:\n${formatValue(entry.value)}\n`,
        );
      }
      for (const {host, process, failure} of unreachableProcesses) {
        this.log(`${host} ${process}: not reached (${failure ?? ''})`);
      }
      return {requestId, processes: answers, ledger: entries};
    });
  }
}

import {Args} from '@oclif/core';
import {ExitCode} from '@wisteriadeal/runtime';

import {CommandError} from '../command-error.js';
import {fleetProcesses, survey} from '../fleet-survey.js';
import {OperatorCommand, settingsFlag} from '../operator-command.js';
import {readable} from '../readable.js';
import {findRequestEntries} from '../request-entries.js';

/** Says what happened to a request. */
export class RequestExplain extends OperatorCommand {
  static override summary = 'Say step by step what happened to a request';
  static override description =
    'Asks each process, and searches the ledger on the log for its claim and its bill.';
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
      const answers = await this.showing(
        'Asking the fleet',
        survey(await fleetProcesses(connections), client =>
          client.explainRequest(requestId),
        ),
      );
      const entries = await this.showing(
        'Searching the ledger',
        findRequestEntries(
          connections.log,
          connections.settings.ledgerStreams,
          requestId,
        ),
      );
      const known = answers.filter(({answer}) => answer !== undefined);
      const unreached = answers.filter(({failure}) => failure !== undefined);
      if (known.length === 0 && entries.length === 0) {
        throw new CommandError(
          ExitCode.NotFound,
          `Nothing is known of ${requestId} (${unreached.length} of ${answers.length} processes were not reached)`,
          'Check the identifier. A request that was refused leaves a trace only in the log lines of its router.',
        );
      }
      for (const {host, process, answer} of known) {
        this.log(`${host} ${process}:\n${readable(answer)}\n`);
      }
      for (const entry of entries) {
        this.log(
          `${entry.stream} offset ${entry.offset}, ${entry.kind}:\n${readable(entry.value)}\n`,
        );
      }
      for (const {host, process, failure} of unreached) {
        this.log(`${host} ${process}: not reached (${failure ?? ''})`);
      }
      return {requestId, processes: answers, ledger: entries};
    });
  }
}

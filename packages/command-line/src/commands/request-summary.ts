import {Args, Flags} from '@oclif/core';
import {ExitCode} from '@wisteriadeal/runtime';
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

import {CommandError} from '../command-error.js';
import {OperatorCommand} from '../operator-command.js';
import {formatTable} from '../text-format.js';
import {RequestTally, type TallyRow} from '../request-tally.js';

/** Counts requests in gateway logs by outcome and status. */
export class RequestSummary extends OperatorCommand {
  static override summary = 'Count requests in gateway logs by outcome';
  static override description =
    'Reads log lines of one or more hosts; ignores lines that are not about a request. Makes no network connections.';
  static override examples = [
    '<%= config.bin %> request summary gateway.log',
    '<%= config.bin %> request summary --span 10 all-hosts.log',
  ];
  static override args = {
    file: Args.string({
      description: 'file of log lines, of one or more hosts',
      required: true,
    }),
  };
  static override flags = {
    span: Flags.integer({
      description:
        'seconds per time window; the table shows the worst window of each outcome',
      default: 2,
      min: 1,
    }),
  };

  override async run() {
    const {args, flags} = await this.parse(RequestSummary);
    const tally = new RequestTally(flags.span * 1_000);
    try {
      for await (const line of createInterface(createReadStream(args.file))) {
        tally.add(line);
      }
    } catch (error) {
      throw new CommandError(
        ExitCode.InvalidInput,
        `can't read ${args.file}: ${String(error)}`,
        'Give the path of a readable file of log lines.',
      );
    }
    const rows = tally.result();
    this.log(formatTable(HEADINGS, rows.map(rowCells)));
    return {reasons: rows};
  }
}

const HEADINGS = [
  'outcome',
  'status',
  'requests',
  'share',
  'tokens',
  'worst window',
  'requests in window',
];

function rowCells(row: TallyRow): readonly string[] {
  return [
    row.outcome,
    String(row.status),
    String(row.requests),
    `${(100 * row.part).toFixed(1)} %`,
    String(row.boundTokens),
    row.worstAt,
    String(row.worstRequests),
  ];
}

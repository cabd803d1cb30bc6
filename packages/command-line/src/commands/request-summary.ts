import {Args, Flags} from '@oclif/core';
import {ExitCode} from '@wisteriadeal/runtime';
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

import {CommandError} from '../command-error.js';
import {OperatorCommand} from '../operator-command.js';
import {formatTable} from '../text-format.js';
import {RequestTally, type TallyRow} from '../request-tally.js';

/** Tells from gateways' logs how requests ended, by reason. */
export class RequestSummary extends OperatorCommand {
  static override summary = 'Count how requests ended, from gateways’ logs';
  static override description =
    'Reads log lines of one or more hosts; other lines are passed over. Reaches nothing outside.';
  static override examples = [
    '<%= config.bin %> request summary gateway.log',
    '<%= config.bin %> request summary --span 10 all-hosts.log',
  ];
  static override args = {
    file: Args.string({
      description: 'A file of log lines, of one host or of many',
      required: true,
    }),
  };
  static override flags = {
    span: Flags.integer({
      description: 'Seconds in which the worst moment of each reason is sought',
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
        'Name a file of log lines.',
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
  'part',
  'tokens',
  'worst moment',
  'requests then',
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

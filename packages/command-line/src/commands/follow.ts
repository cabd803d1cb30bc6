import {Args, Flags} from '@oclif/core';
import {CONFIGURATION_STREAM} from '@wisteriadeal/operator';
import type {LogRecord} from '@wisteriadeal/platform';

import {decodeRecord} from '../decoded-record.js';
import {OperatorCommand, settingsFlag} from '../operator-command.js';

const PAGE_RECORDS = 100;
const WAIT_MILLISECONDS = 1_000;

/** Prints the records of a stream in log order. */
export class Follow extends OperatorCommand {
  static override summary = 'Print the records of a stream of the log';
  static override description =
    'Prints one record per line; with --json each line is a JSON object. Stops at the end of the stream unless --wait is given.';
  static override examples = [
    '<%= config.bin %> follow configuration',
    '<%= config.bin %> follow ledger-3 --from 1200 --wait',
  ];
  static override args = {
    stream: Args.string({
      description: `${CONFIGURATION_STREAM}, or ledger-N`,
      required: true,
    }),
  };
  static override flags = {
    settings: settingsFlag,
    from: Flags.integer({
      description: 'offset of the first record',
      default: 0,
      min: 0,
    }),
    wait: Flags.boolean({
      description: 'wait for new records at the end, until interrupted',
    }),
  };

  override async run() {
    const {args, flags} = await this.parse(Follow);
    await this.withConnections(flags.settings, async ({log}) => {
      let position = flags.from;
      let atEnd = false;
      while (!atEnd) {
        const page = await log.read(
          args.stream,
          position,
          PAGE_RECORDS,
          flags.wait ? WAIT_MILLISECONDS : 0,
        );
        for (const record of page.records) {
          this.printRecord(args.stream, record);
        }
        position = page.nextOffset;
        atEnd = !flags.wait && position >= page.endOffset;
      }
    });
  }

  private printRecord(stream: string, record: LogRecord): void {
    const decoded = decodeRecord(stream, record);
    process.stdout.write(
      this.jsonEnabled()
        ? `${JSON.stringify(decoded)}\n`
        : `${decoded.offset} ${decoded.appendedAt} ${JSON.stringify(decoded.record)}\n`,
    );
  }
}

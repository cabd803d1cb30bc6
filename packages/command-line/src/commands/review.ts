import {Args, Flags} from '@oclif/core';
import {formatChange} from '@wisteriadeal/operator';
import {ExitCode} from '@wisteriadeal/runtime';

import {OperatorCommand} from '../operator-command.js';

/** Reviews a configuration file before it is sent. */
export class Review extends OperatorCommand {
  static override summary = 'Review a configuration file before it is sent';
  static override description =
    'Finds entries that can never match and limits that contradict each other, in a configuration of gateways or one for "publish". Makes no network connections. Exit code 0 without findings, 1 with findings, 2 if a file can\'t be read.';
  static override examples = [
    '<%= config.bin %> review fleet.json',
    '<%= config.bin %> review fleet.json --in-force sent.json --json',
  ];
  static override args = {
    file: Args.string({description: 'the configuration file', required: true}),
  };
  static override flags = {
    'in-force': Flags.string({
      description: 'file with the version in force; shows the difference to it',
    }),
  };

  override async run() {
    const {args, flags} = await this.parse(Review);
    // Loading the gateway's decoder takes about 0.3 s, which other commands
    // would wait for too.
    const {formatFinding, reviewFile} =
      await import('../configuration-review.js');
    const {findings, changes} = reviewFile(args.file, flags['in-force']);
    for (const finding of findings) {
      this.log(formatFinding(finding));
    }
    this.log(`${args.file}: findings ${findings.length}.`);
    if (changes !== undefined) {
      this.log(`Difference from ${flags['in-force'] ?? ''}:`);
      for (const change of changes) {
        this.log(formatChange(change));
        for (const effect of change.effects) {
          this.log(`    ${effect}`);
        }
      }
      if (changes.length === 0) {
        this.log('(changes nothing)');
      }
    }
    if (findings.length > 0) {
      process.exitCode = ExitCode.Failure;
    }
    return {file: args.file, findings, changes};
  }
}

import {Args, Flags} from '@oclif/core';

import {InspectionClient} from '../inspection-client.js';
import {OperatorCommand} from '../operator-command.js';
import {formatValue} from '../text-format.js';

const DEFAULT_MAXIMUM_BYTES = 262_144;

export class Dump extends OperatorCommand {
  static override summary = 'Print the state of one process';
  static override description =
    'Includes versions, grants, reservations, queues and peers, but no prompts, answers or credentials. Needs no settings.';
  static override examples = [
    '<%= config.bin %> dump 10.0.0.5:7101',
    '<%= config.bin %> dump 10.0.0.5:7101 --json',
  ];
  static override args = {
    address: Args.string({
      description: "IP:port of the process's control services",
      required: true,
    }),
  };
  static override flags = {
    'maximum-bytes': Flags.integer({
      description: 'size limit; the process truncates long lists to fit it',
      default: DEFAULT_MAXIMUM_BYTES,
      min: 1_024,
    }),
  };

  override async run() {
    const {args, flags} = await this.parse(Dump);
    const client = new InspectionClient(args.address);
    try {
      const state = await client.dump(flags['maximum-bytes']);
      this.log(formatValue(state));
      return state;
    } finally {
      client.close();
    }
  }
}

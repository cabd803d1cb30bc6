import {Args} from '@oclif/core';

import {loadConfiguration} from '../configuration-file.js';
import {OperatorCommand} from '../operator-command.js';

/** Validates a configuration file without publishing it. */
export class Check extends OperatorCommand {
  static override summary = 'Check a configuration file';
  static override description =
    'Applies the same rules as every process of the fleet. Makes no network connections.';
  static override examples = ['<%= config.bin %> check fleet.json'];
  static override args = {
    file: Args.string({
      description:
        'JSON file, with comments allowed, as the operator library prints it',
      required: true,
    }),
  };

  override async run() {
    const {args} = await this.parse(Check);
    const configuration = loadConfiguration(args.file);
    const counts = {
      organisations: configuration.organisations.length,
      services: configuration.services.length,
      endpoints: configuration.endpoints.length,
      models: configuration.models.length,
    };
    this.log(
      `${args.file} is valid: organisations ${counts.organisations}, services ${counts.services}, endpoints ${counts.endpoints}, models ${counts.models}.`,
    );
    this.log(`Next: wisteriadeal publish ${args.file}`);
    return {valid: true, ...counts};
  }
}

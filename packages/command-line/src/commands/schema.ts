import {Args} from '@oclif/core';
import {toJsonSchema} from '@wisteriadeal/operator';
import {ExitCode} from '@wisteriadeal/runtime';

import {CommandError} from '../command-error.js';
import {OperatorCommand} from '../operator-command.js';
import {SCHEMAS} from '../schema-names.js';

/** Prints the JSON Schema of a file that operators write. */
export class Schema extends OperatorCommand {
  static override summary =
    'Print the JSON Schema of a configuration or settings file';
  static override description = 'Makes no network connections.';
  static override examples = [
    '<%= config.bin %> schema configuration > configuration.schema.json',
  ];
  static override args = {
    name: Args.string({
      description: `one of ${Object.keys(SCHEMAS).join(', ')}`,
      required: true,
    }),
  };

  override async run() {
    const {args} = await this.parse(Schema);
    const message = SCHEMAS[args.name];
    if (message === undefined) {
      throw new CommandError(
        ExitCode.Usage,
        `There is no schema ${args.name}`,
        `Use one of ${Object.keys(SCHEMAS).join(', ')}.`,
      );
    }
    const schema = toJsonSchema(message);
    this.log(JSON.stringify(schema, undefined, 2));
    return schema;
  }
}

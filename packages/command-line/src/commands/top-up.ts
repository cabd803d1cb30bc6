import {Args, Flags} from '@oclif/core';
import {topUp, TopUpOutcome} from '@wisteriadeal/operator';
import {ExitCode} from '@wisteriadeal/runtime';

import {CommandError} from '../command-error.js';
import {OperatorCommand, settingsFlag} from '../operator-command.js';

export class TopUp extends OperatorCommand {
  static override summary = "Add tokens to an organisation's budget";
  static override description =
    'It is safe to repeat the command with the same --id: the tokens are credited once.';
  static override examples = [
    '<%= config.bin %> top-up kigali-bar-school 500000 --id invoice-2041',
  ];
  static override args = {
    organisation: Args.string({
      description: 'name of the organisation',
      required: true,
    }),
    tokens: Args.integer({
      description: 'number of tokens, above 0',
      required: true,
      min: 1,
    }),
  };
  static override flags = {
    settings: settingsFlag,
    id: Flags.string({
      description: 'identifier of the payment, such as an invoice number',
      required: true,
    }),
    reason: Flags.string({
      description: 'reason, for the records',
      default: 'top-up',
    }),
  };
  protected override retryHint =
    'Run the same command again, with the same --id: the tokens are credited once.';

  override async run() {
    const {args, flags} = await this.parse(TopUp);
    if (!Number.isSafeInteger(args.tokens)) {
      throw new CommandError(
        ExitCode.InvalidInput,
        `${args.tokens} tokens: the number is too large to be represented exactly`,
        'Use a whole number below 2^53.',
      );
    }
    return this.withConnections(flags.settings, async connections => {
      const {log, clock, settings} = connections;
      const result = await this.withProgress(
        `Crediting ${args.tokens} tokens as ${flags.id}`,
        topUp(log, clock, {
          organisation: args.organisation,
          tokens: args.tokens,
          entryId: flags.id,
          operator: settings.operator,
          reason: flags.reason,
          ledgerStreams: settings.ledgerStreams,
        }),
      );
      this.log(
        result.outcome === TopUpOutcome.Credited
          ? `Credited. ${args.organisation} has been credited ${result.creditedTokens} tokens in all.`
          : `Nothing was added: ${flags.id} was already credited. ${args.organisation} has been credited ${result.creditedTokens} tokens in all.`,
      );
      return result;
    });
  }
}

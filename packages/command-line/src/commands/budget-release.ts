import {Args, Flags} from '@oclif/core';
import {
  releaseStrandedGrant,
  StrandedReleaseOutcome,
} from '@wisteriadeal/operator';
import {ExitCode} from '@wisteriadeal/runtime';

import {CommandError} from '../command-error.js';
import {OperatorCommand, settingsFlag} from '../operator-command.js';

/** Releases the remaining tokens of a grant whose hosts are destroyed. */
export class BudgetRelease extends OperatorCommand {
  static override summary =
    'Release the remaining tokens of a grant whose hosts are destroyed';
  static override description =
    'Use it only if the hosts of the holder and of the witness are certain to be destroyed: what a holder that still runs spends afterwards is not billed.';
  static override examples = [
    '<%= config.bin %> budget release kigali-bar-school 5c0c417c7706fc5900713012d1053cb8 --reason "rack 4 burnt" --yes',
  ];
  static override args = {
    organisation: Args.string({
      description: 'name of the organisation',
      required: true,
    }),
    grant: Args.string({
      description: 'identifier of the grant, as budget explain prints it',
      required: true,
    }),
  };
  static override flags = {
    settings: settingsFlag,
    reason: Flags.string({
      description: 'how you know that the hosts are destroyed, for the records',
      required: true,
    }),
    yes: Flags.boolean({
      description:
        'confirm that the hosts are destroyed, and release the grant',
    }),
  };

  override async run() {
    const {args, flags} = await this.parse(BudgetRelease);
    const {organisation, grant: grantId} = args;
    if (!flags.yes) {
      throw new CommandError(
        ExitCode.Usage,
        'Nothing was released: a holder that is only disconnected or paused returns its grant itself, and what it spends after a release is not billed.',
        'When both hosts of the grant are certain to be destroyed, run the same command with --yes.',
      );
    }
    return this.withConnections(flags.settings, async connections => {
      const {log, clock, settings} = connections;
      const result = await this.withProgress(
        `Releasing ${grantId}`,
        releaseStrandedGrant(log, clock, {
          organisation,
          grantId,
          operator: settings.operator,
          reason: flags.reason,
          ledgerStreams: settings.ledgerStreams,
        }),
      );
      if (result.outcome === StrandedReleaseOutcome.UnknownGrant) {
        throw new CommandError(
          ExitCode.NotFound,
          `${organisation} has no grant ${grantId}`,
          `Run "wisteriadeal budget explain ${organisation}" for its grants.`,
        );
      }
      this.log(
        result.outcome === StrandedReleaseOutcome.Released
          ? `Released. ${organisation} has ${result.unallocatedTokens} tokens that are not granted.`
          : 'Nothing was released: the grant was already closed.',
      );
      return result;
    });
  }
}

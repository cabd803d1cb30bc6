import {Args} from '@oclif/core';
import {ledgerStreamOf, type LedgerFold} from '@wisteriadeal/ledger';
import {ledgerReader} from '@wisteriadeal/operator';
import {StepError} from '@wisteriadeal/platform';
import {ExitCode} from '@wisteriadeal/runtime';

import {CommandError} from '../command-error.js';
import type {Connections} from '../connections.js';
import {
  listFleetProcesses,
  queryProcesses,
  type ProcessAnswer,
} from '../fleet-processes.js';
import {OperatorCommand, settingsFlag} from '../operator-command.js';
import {formatValue, formatTable} from '../text-format.js';

/** An organisation's budget according to the ledger in the log. */
interface LedgerView {
  readonly creditedTokens: number;
  readonly billedTokens: number;
  readonly unallocatedTokens: number;
  readonly grants: readonly GrantView[];
}

interface GrantView {
  readonly grantId: string;
  readonly dataCenter: string;
  readonly holder: string;
  readonly witness: string;
  readonly leftTokens: number;
  readonly closed: boolean;
}

function toLedgerView(fold: LedgerFold, organisation: string): LedgerView {
  return {
    ...fold.totals(organisation),
    grants: fold
      .grants(organisation)
      .map(grant => ({
        grantId: grant.grantId,
        dataCenter: grant.dataCenter,
        holder: grant.holder,
        witness: grant.witness,
        leftTokens: grant.tokens - grant.billedTokens,
        closed: grant.closed,
      }))
      .filter(grant => !grant.closed || grant.leftTokens > 0),
  };
}

async function readLedger(
  {log, settings}: Connections,
  organisation: string,
): Promise<LedgerView | undefined> {
  const stream = ledgerStreamOf(organisation, settings.ledgerStreams);
  try {
    const fold = await ledgerReader(log, stream).readToEnd();
    return toLedgerView(fold, organisation);
  } catch (error) {
    if (error instanceof StepError) {
      return undefined;
    }
    throw error;
  }
}

function describeLedger(organisation: string, ledger: LedgerView): string {
  const {creditedTokens, billedTokens, unallocatedTokens, grants} = ledger;
  const remainingTokens = creditedTokens - billedTokens;
  const grantedTokens = remainingTokens - unallocatedTokens;
  return [
    `${organisation}: ${creditedTokens} credited = ${billedTokens} billed + ${unallocatedTokens} not granted yet + ${grantedTokens} in grants.`,
    `A request is refused (402) if its bound (from the prompt's bytes and max_tokens) is above the tokens that can be collected for it: at most ${remainingTokens} tokens now.`,
    `To add tokens: wisteriadeal top-up ${organisation} TOKENS --id INVOICE`,
    formatTable(
      ['grant', 'data centre', 'holder', 'witness', 'left'],
      grants.map(grant => [
        grant.grantId,
        grant.dataCenter,
        grant.holder,
        grant.witness || '(none)',
        String(grant.leftTokens),
      ]),
    ),
  ].join('\n');
}

/**
 * Formats the holders' state that the log doesn't contain: open reservations.
 */
function describeHeldGrants(answers: readonly ProcessAnswer[]): string {
  return answers
    .flatMap(({host, answer}) => {
      const held = (answer as {heldHere?: readonly unknown[]}).heldHere ?? [];
      return held.length === 0
        ? []
        : [`\nHeld by ${host}:\n${formatValue(held)}`];
    })
    .join('\n');
}

/** Shows where an organisation's tokens are. */
export class BudgetExplain extends OperatorCommand {
  static override summary = "Show where an organisation's tokens are";
  static override description =
    'Reads the ledger from the log and asks each holder for its reservations. With --json, includes everything that each process has on the budget, such as its latest bills.';
  static override examples = [
    '<%= config.bin %> budget explain kigali-bar-school',
  ];
  static override args = {
    organisation: Args.string({
      description: 'name of the organisation',
      required: true,
    }),
  };
  static override flags = {settings: settingsFlag};

  override async run() {
    const {args, flags} = await this.parse(BudgetExplain);
    const {organisation} = args;
    return this.withConnections(flags.settings, async connections => {
      const ledger = await this.withProgress(
        'Reading the ledger',
        readLedger(connections, organisation),
      );
      const answers = await this.withProgress(
        'Asking the fleet',
        queryProcesses(await listFleetProcesses(connections), client =>
          client.explainBudget(organisation),
        ),
      );
      const processesWithState = answers.filter(
        ({answer}) => answer !== undefined,
      );
      if (
        (ledger?.creditedTokens ?? 0) === 0 &&
        processesWithState.length === 0
      ) {
        throw new CommandError(
          ExitCode.NotFound,
          `No data found on the organisation ${organisation}`,
          'Check the name in the configuration; a new organisation is credited after the configuration was published.',
        );
      }
      if (ledger === undefined) {
        this.log(
          'The log can not be read now; this is what the processes report.',
        );
        for (const {host, process, answer} of processesWithState) {
          this.log(`\n${host} ${process}:\n${formatValue(answer)}`);
        }
      } else {
        this.log(describeLedger(organisation, ledger));
        this.log(describeHeldGrants(processesWithState));
      }
      for (const {host, process, failure} of answers) {
        if (failure !== undefined) {
          this.log(`${host} ${process}: not reached (${failure})`);
        }
      }
      return {organisation, ledger: ledger ?? null, processes: answers};
    });
  }
}

import {RefusalReason, VerdictKind} from '@wisteriadeal/ledger';
import type {Clock} from '@wisteriadeal/platform';
import {BudgetPreference, type BookChange} from '@wisteriadeal/schema';

import type {GrantHolding} from './grant-holding.js';
import {ledgerEntry} from './ledger-entries.js';
import type {LedgerAppender} from './ledger-appender.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {PlatformHealth} from './platform-health.js';
import {Acknowledgement} from './witness-link.js';
import type {WitnessLinks} from './witness-links.js';

/**
 * Maximum time that a reservation without a witness waits for its log entry.
 */
const WRITE_AHEAD_TIMEOUT_MILLISECONDS = 2_000;

/** Replicates changes of the holder's books to a witness or to the log. */
export class BookReplicator {
  constructor(
    private readonly links: WitnessLinks,
    private readonly appender: LedgerAppender,
    private readonly replicas: LedgerReplicas,
    private readonly health: PlatformHealth,
    private readonly clock: Clock,
    private readonly preferenceOf: (organisation: string) => BudgetPreference,
  ) {}

  /**
   * Replicates a change to the witnesses of its grant, or to the log if the
   * grant has none, and waits for the result. The caller may act on the change
   * only if the result is `Applied`.
   */
  async commit(
    holding: GrantHolding,
    change: BookChange,
  ): Promise<Acknowledgement> {
    // The acknowledgement of a candidate alone is not sufficient: until it is
    // nominated or the log names it as the witness, it can't reclaim the grant,
    // and requests that it acknowledged would get no bill if the holder died.
    const answers = await Promise.all([
      ...holding.witnesses.map(witness =>
        this.sendToWitness(holding, witness, change),
      ),
      ...(holding.hasWitness
        ? []
        : [this.commitWithoutWitness(holding, change)]),
    ]);
    if (holding.isClosed || answers.includes(Acknowledgement.Fenced)) {
      return Acknowledgement.Fenced;
    }
    return answers.includes(Acknowledgement.Unconfirmed)
      ? Acknowledgement.Unconfirmed
      : Acknowledgement.Applied;
  }

  /**
   * Replicates a settlement, which may be acknowledged once any other host has
   * stored it: each host with a copy submits the bills of a lost holder.
   *
   * @returns Whether another host has stored it.
   */
  async replicateSettlement(
    holding: GrantHolding,
    change: BookChange,
  ): Promise<boolean> {
    if (holding.isClosed) {
      // The log decides what is billed under a closed grant, not its books.
      return false;
    }
    const answers = holding.witnesses.map(async witness => {
      const answer = await this.sendToWitness(holding, witness, change);
      if (answer !== Acknowledgement.Applied) {
        throw new Error(`witness ${witness} has not stored the change`);
      }
      return true;
    });
    return Promise.any(answers).catch(() => false);
  }

  /**
   * Sends a change to one witness; sends the whole book instead if the witness
   * has none.
   */
  async sendToWitness(
    holding: GrantHolding,
    witness: string,
    change: BookChange,
  ): Promise<Acknowledgement> {
    const link = this.links.linkTo(witness);
    if (link === undefined) {
      return Acknowledgement.Unconfirmed;
    }
    // The full book includes the change.
    const createBook = () => holding.createOpenedChange(witness);
    let answer = await link.send(change, createBook);
    if (answer === Acknowledgement.UnknownGrant) {
      answer = await link.send(createBook(), createBook);
    }
    holding.recordAcknowledgement(witness, answer);
    return answer === Acknowledgement.UnknownGrant
      ? Acknowledgement.Unconfirmed
      : answer;
  }

  /**
   * Commits a change of a grant that has no witness.
   *
   * Such a grant can't be reclaimed, so its budget can't be overspent if a host
   * dies; only the details of a bill can be lost. With `AVOID_UNCLEAR_BILLS`,
   * the reservation is written to the log first and refused if that fails or
   * times out. With `AVOID_REFUSALS`, the request continues if the log is
   * unreachable or does not confirm the entry in time.
   */
  private async commitWithoutWitness(
    holding: GrantHolding,
    change: BookChange,
  ): Promise<Acknowledgement> {
    const {kind, organisation} = change;
    if (kind.case !== 'reserved' || kind.value.reservation === undefined) {
      return Acknowledgement.Applied;
    }
    const fallback =
      this.preferenceOf(organisation) === BudgetPreference.AVOID_REFUSALS
        ? Acknowledgement.Applied
        : Acknowledgement.Unconfirmed;
    if (!this.health.isReachable(this.replicas.streamOf(organisation))) {
      return fallback;
    }
    const {reservation} = kind.value;
    const written = this.appender
      .submit(
        ledgerEntry(
          `ahead:${reservation.requestId}:${reservation.attemptId}`,
          organisation,
          {case: 'writeAhead', value: {grantId: holding.grantId, reservation}},
        ),
      )
      .then(({verdict}) => {
        if (verdict.reason === RefusalReason.GrantClosed) {
          return Acknowledgement.Fenced;
        }
        return verdict.kind === VerdictKind.Refused
          ? Acknowledgement.Unconfirmed
          : Acknowledgement.Applied;
      });
    const timeoutController = new AbortController();
    const timeout = this.clock
      .sleep(WRITE_AHEAD_TIMEOUT_MILLISECONDS, timeoutController.signal)
      .then(() => fallback);
    const acknowledgement = await Promise.race([written, timeout]);
    timeoutController.abort();
    holding.isClosed ||= acknowledgement === Acknowledgement.Fenced;
    return acknowledgement;
  }
}

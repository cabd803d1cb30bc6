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

/** A lone host's reservation waits so long for the log. */
const WRITE_AHEAD_LIMIT_MILLISECONDS = 2_000;

/** Makes changes of the holder's books known to a second place. */
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
   * Sends a change and waits until it is known elsewhere. Only `Applied` allows
   * what the change says.
   */
  async commit(
    holding: GrantHolding,
    change: BookChange,
  ): Promise<Acknowledgement> {
    // A candidate alone does not count: until the log names it, it can't reclaim
    // the grant, and what it acknowledged would have no bill if the holder died.
    const answers = await Promise.all([
      ...holding.witnesses.map(witness => this.send(holding, witness, change)),
      ...(holding.witness === '' ? [this.withoutWitness(holding, change)] : []),
    ]);
    if (holding.isClosed || answers.includes(Acknowledgement.Fenced)) {
      return Acknowledgement.Fenced;
    }
    return answers.includes(Acknowledgement.Lost)
      ? Acknowledgement.Lost
      : Acknowledgement.Applied;
  }

  private async send(
    holding: GrantHolding,
    witness: string,
    change: BookChange,
  ): Promise<Acknowledgement> {
    const link = this.links.to(witness);
    if (link === undefined) {
      return Acknowledgement.Lost;
    }
    let answer = await link.send(change);
    if (answer === Acknowledgement.Unknown) {
      // The whole book has the change in it.
      answer = await link.send(holding.book.opened());
    }
    holding.answered(witness, answer);
    return answer === Acknowledgement.Unknown ? Acknowledgement.Lost : answer;
  }

  /**
   * A grant without a witness can't be reclaimed, so its budget is safe whoever
   * dies; at stake are the details of a bill. Where the organisation wants clear
   * books, the reservation goes to the log first, and without the log it is
   * refused; where it wants few refusals, the request goes on.
   */
  private async withoutWitness(
    holding: GrantHolding,
    change: BookChange,
  ): Promise<Acknowledgement> {
    const {kind, organisation} = change;
    if (kind.case !== 'reserved' || kind.value.reservation === undefined) {
      return Acknowledgement.Applied;
    }
    const otherwise =
      this.preferenceOf(organisation) === BudgetPreference.AVOID_REFUSALS
        ? Acknowledgement.Applied
        : Acknowledgement.Lost;
    if (!this.health.isReachable(this.replicas.streamOf(organisation))) {
      return otherwise;
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
          ? Acknowledgement.Lost
          : Acknowledgement.Applied;
      });
    const ended = new AbortController();
    const limit = this.clock
      .sleep(WRITE_AHEAD_LIMIT_MILLISECONDS, ended.signal)
      .then(() => otherwise);
    const first = await Promise.race([written, limit]);
    ended.abort();
    holding.isClosed ||= first === Acknowledgement.Fenced;
    return first;
  }
}

import {create} from '@bufbuild/protobuf';
import type {Clock, RandomSource} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {
  TransferGrantAnswerSchema,
  TransferGrantRequestSchema,
  TransferSchema,
  type ProcessIdentity,
  type Transfer,
  type TransferGrantAnswer,
  type TransferGrantRequest,
} from '@wisteriadeal/schema';

import type {BookReplicator} from './book-replicator.js';
import type {GrantManager} from './grant-manager.js';
import type {LedgerAppender} from './ledger-appender.js';
import {transferEntry} from './ledger-entries.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';
import type {OrganisationGrants} from './organisation-grants.js';
import {Acknowledgement} from './witness-link.js';
import type {PeerClients} from './peer-clients.js';

/** A giver keeps what it needs itself for so long. */
const KEEP_SECONDS = 10;
/** A taker asks for so many bounds first, to come back less often. */
const ASK_BOUNDS = 8;
/** Between two rounds of asking for one organisation. */
const ASK_PAUSE_MILLISECONDS = 250;
/** A giver that takes longer is left; what it debited is then stranded. */
const ASK_LIMIT_MILLISECONDS = 1_500;
/** Transfers remembered for a repeated question. */
const REMEMBERED_TRANSFERS = 10_000;

/**
 * Moves grants between holders that see each other, without the platform.
 *
 * The giver debits first and answers only after its witness took note; a lost
 * answer is asked for again under the same identifier. A message that is lost
 * for good strands tokens; none can create any.
 */
export class TransferService {
  private readonly given = new Map<string, Transfer>();
  private readonly nextAsk = new Map<string, number>();

  constructor(
    private readonly membership: MembershipTable,
    private readonly peers: PeerClients,
    private readonly replicas: LedgerReplicas,
    private readonly grants: GrantManager,
    private readonly replicator: BookReplicator,
    private readonly appender: LedgerAppender,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly eventLog: EventLog,
  ) {}

  /** Answers a peer that asks. */
  async give(request: TransferGrantRequest): Promise<TransferGrantAnswer> {
    const known = this.given.get(request.transferId);
    const transfer = known ?? (await this.debit(request));
    return create(
      TransferGrantAnswerSchema,
      transfer === undefined ? {} : {transfer},
    );
  }

  /** Asks peers for an organisation whose requests wait, one at a time. */
  async ask(grants: OrganisationGrants, signal: AbortSignal): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    if (now < (this.nextAsk.get(grants.organisation) ?? 0)) {
      return;
    }
    this.nextAsk.set(grants.organisation, Infinity);
    try {
      await this.askPeers(grants, signal);
    } finally {
      this.nextAsk.set(
        grants.organisation,
        this.clock.monotonicMilliseconds() + ASK_PAUSE_MILLISECONDS,
      );
    }
  }

  private async debit(
    request: TransferGrantRequest,
  ): Promise<Transfer | undefined> {
    const {organisation, transferId, tokens, toHolder, toWitness} = request;
    const grants = this.grants.of(organisation);
    const holding = [...grants.holdings.values()]
      .filter(candidate => candidate.spendableTokens >= tokens)
      .sort((one, other) => other.spendableTokens - one.spendableTokens)[0];
    const keep = Math.ceil(grants.demandTokensPerSecond * KEEP_SECONDS);
    if (
      holding === undefined ||
      toHolder === undefined ||
      grants.spendableTokens - tokens < keep
    ) {
      return undefined;
    }
    const transfer = create(TransferSchema, {
      transferId,
      fromGrant: holding.grantId,
      tokens,
      toHolder: toHolder.incarnation,
      toWitness,
      toDataCenter: toHolder.dataCenter,
    });
    const change = holding.book.transferOut(transfer);
    if (change === undefined) {
      return undefined;
    }
    const acknowledged = await this.replicator.commit(holding, change);
    // In either case the tokens are debited and the log is told. Without the
    // acknowledgement the taker is not: it gets them when it reads the record,
    // if that still counts.
    void this.appender.submit(transferEntry(organisation, transfer));
    if (acknowledged !== Acknowledgement.Applied) {
      return undefined;
    }
    this.remember(transfer);
    return transfer;
  }

  private remember(transfer: Transfer): void {
    this.given.set(transfer.transferId, transfer);
    for (const transferId of this.given.keys()) {
      if (this.given.size <= REMEMBERED_TRANSFERS) {
        return;
      }
      this.given.delete(transferId);
    }
  }

  private async askPeers(
    grants: OrganisationGrants,
    signal: AbortSignal,
  ): Promise<void> {
    const bound = grants.waitingBoundTokens;
    for (const tokens of [bound * ASK_BOUNDS, bound]) {
      for (const peer of this.candidates(grants.organisation)) {
        if (
          grants.waitingBoundTokens === 0 ||
          grants.largestSpendableTokens >= bound
        ) {
          return;
        }
        await this.askPeer(grants.organisation, peer, tokens, signal);
      }
    }
  }

  /** Reachable peers, those that the log knows to hold most first. */
  private candidates(organisation: string): readonly ProcessIdentity[] {
    const held = new Map<string, number>();
    const ledger = this.replicas.ledgerOf(organisation);
    for (const grant of ledger.grants(organisation)) {
      if (!grant.closed) {
        const tokens = grant.tokens - grant.billedTokens;
        held.set(grant.holder, (held.get(grant.holder) ?? 0) + tokens);
      }
    }
    return this.membership.reachablePeers
      .filter(peer => (held.get(peer.incarnation) ?? 0) > 0)
      .sort(
        (one, other) =>
          (held.get(other.incarnation) ?? 0) - (held.get(one.incarnation) ?? 0),
      );
  }

  private async askPeer(
    organisation: string,
    peer: ProcessIdentity,
    tokens: number,
    signal: AbortSignal,
  ): Promise<void> {
    const request = create(TransferGrantRequestSchema, {
      transferId: this.random.identifier(),
      organisation,
      tokens,
      toHolder: this.membership.self,
      toWitness: this.membership.witnessFor(organisation) ?? '',
    });
    try {
      const {transfer} = await this.askTwice(peer, request, signal);
      if (transfer !== undefined) {
        void this.appender.submit(transferEntry(organisation, transfer));
        this.grants.accept(organisation, transfer);
        this.eventLog.info('grant transferred here', {
          organisation,
          peer: peer.incarnation,
          tokens: transfer.tokens,
        });
      }
    } catch (error) {
      this.eventLog.warn('transfer not answered', {
        organisation,
        peer: peer.incarnation,
        reason: String(error),
      });
    }
  }

  private async askTwice(
    peer: ProcessIdentity,
    request: TransferGrantRequest,
    signal: AbortSignal,
  ): Promise<TransferGrantAnswer> {
    const client = this.peers.client(peer.controlAddress);
    const options = {signal, timeoutMs: ASK_LIMIT_MILLISECONDS};
    try {
      return await client.transferGrant(request, options);
    } catch {
      return client.transferGrant(request, options);
    }
  }
}

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

/**
 * A holder that transfers tokens keeps enough for its own demand during this
 * time.
 */
const RETAINED_DEMAND_SECONDS = 10;
/**
 * Multiple of the waiting bound that is requested first, to need fewer
 * transfers. If no peer can transfer this much, the bound itself is requested.
 */
const PREFERRED_BOUNDS = 8;
/**
 * Minimum interval between two rounds of transfer requests for one
 * organisation.
 */
const REQUEST_INTERVAL_MILLISECONDS = 250;
/**
 * Timeout of one transfer request. Tokens that a peer has debited are stranded
 * if neither its answer nor its log entry arrives.
 */
const REQUEST_TIMEOUT_MILLISECONDS = 1_500;
/** Maximum number of completed transfers kept to answer repeated requests. */
const MAXIMUM_COMPLETED_TRANSFERS = 10_000;

/**
 * Transfers tokens between holders that can reach each other, without the
 * platform.
 *
 * The sending holder debits its grant first, and answers only after its witness
 * has acknowledged the change. If the answer is lost, the request is repeated
 * with the same identifier. A message that is lost permanently can strand
 * tokens, but no lost or repeated message can create tokens.
 */
export class TransferService {
  private readonly completedTransfers = new Map<string, Transfer>();
  /** Debited transfers that no witness has acknowledged. */
  private readonly unansweredTransfers = new Set<string>();
  private readonly runningDebits = new Map<
    string,
    Promise<Transfer | undefined>
  >();
  private readonly nextRequestAt = new Map<string, number>();

  constructor(
    private readonly membership: MembershipTable,
    private readonly peers: PeerClients,
    private readonly replicas: LedgerReplicas,
    private readonly grantManager: GrantManager,
    private readonly replicator: BookReplicator,
    private readonly appender: LedgerAppender,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly eventLog: EventLog,
  ) {}

  /**
   * Handles a peer's transfer request; the answer has no transfer if it can't
   * be met.
   */
  async handleRequest(
    request: TransferGrantRequest,
  ): Promise<TransferGrantAnswer> {
    const {transferId} = request;
    const transfer = this.unansweredTransfers.has(transferId)
      ? undefined
      : (this.completedTransfers.get(transferId) ??
        (await this.debitOnce(request)));
    return create(
      TransferGrantAnswerSchema,
      transfer === undefined ? {} : {transfer},
    );
  }

  /**
   * Requests tokens from peers, one after the other, for an organisation with
   * waiting requests. Does nothing if the last round is still running or was
   * less than the minimum interval ago.
   */
  async requestTokens(
    grants: OrganisationGrants,
    signal: AbortSignal,
  ): Promise<void> {
    const now = this.clock.monotonicMilliseconds();
    if (now < (this.nextRequestAt.get(grants.organisation) ?? 0)) {
      return;
    }
    this.nextRequestAt.set(grants.organisation, Infinity);
    try {
      await this.requestFromPeers(grants, signal);
    } finally {
      this.nextRequestAt.set(
        grants.organisation,
        this.clock.monotonicMilliseconds() + REQUEST_INTERVAL_MILLISECONDS,
      );
    }
  }

  /** Shares one debit between repeated requests for the same transfer. */
  private debitOnce(
    request: TransferGrantRequest,
  ): Promise<Transfer | undefined> {
    const {transferId} = request;
    const running = this.runningDebits.get(transferId);
    if (running !== undefined) {
      return running;
    }
    const debit = this.debit(request).finally(() => {
      this.runningDebits.delete(transferId);
    });
    this.runningDebits.set(transferId, debit);
    return debit;
  }

  private async debit(
    request: TransferGrantRequest,
  ): Promise<Transfer | undefined> {
    const {organisation, transferId, tokens, toHolder, toWitness} = request;
    const grants = this.grantManager.forOrganisation(organisation);
    const holding = [...grants.holdings.values()]
      .filter(candidate => candidate.spendableTokens >= tokens)
      .sort((one, other) => other.spendableTokens - one.spendableTokens)[0];
    const retainedTokens = Math.ceil(
      grants.demandTokensPerSecond * RETAINED_DEMAND_SECONDS,
    );
    if (
      holding === undefined ||
      toHolder === undefined ||
      grants.spendableTokens - tokens < retainedTokens
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
    // The tokens are debited and the entry is submitted in either case. Without
    // the acknowledgement the receiving holder gets no answer: it accepts the
    // tokens when it reads the entry, if the fold accepts it.
    void this.appender.submit(transferEntry(organisation, transfer));
    if (acknowledged !== Acknowledgement.Applied) {
      this.recordUnanswered(transferId);
      return undefined;
    }
    this.recordTransfer(transfer);
    return transfer;
  }

  /** Keeps a repeated request from being debited again. */
  private recordUnanswered(transferId: string): void {
    this.unansweredTransfers.add(transferId);
    for (const oldest of this.unansweredTransfers) {
      if (this.unansweredTransfers.size <= MAXIMUM_COMPLETED_TRANSFERS) {
        return;
      }
      this.unansweredTransfers.delete(oldest);
    }
  }

  private recordTransfer(transfer: Transfer): void {
    this.completedTransfers.set(transfer.transferId, transfer);
    for (const transferId of this.completedTransfers.keys()) {
      if (this.completedTransfers.size <= MAXIMUM_COMPLETED_TRANSFERS) {
        return;
      }
      this.completedTransfers.delete(transferId);
    }
  }

  private async requestFromPeers(
    grants: OrganisationGrants,
    signal: AbortSignal,
  ): Promise<void> {
    const bound = grants.waitingBoundTokens;
    for (const tokens of [bound * PREFERRED_BOUNDS, bound]) {
      for (const peer of this.candidates(grants.organisation)) {
        if (
          grants.waitingBoundTokens === 0 ||
          grants.largestSpendableTokens >= bound
        ) {
          return;
        }
        await this.requestFromPeer(grants.organisation, peer, tokens, signal);
      }
    }
  }

  /**
   * Returns the reachable peers with tokens, ordered by their unbilled tokens
   * on the log.
   */
  private candidates(organisation: string): readonly ProcessIdentity[] {
    const tokensByHolder = new Map<string, number>();
    const ledger = this.replicas.ledgerOf(organisation);
    for (const grant of ledger.grants(organisation)) {
      if (!grant.closed) {
        const tokens = grant.tokens - grant.billedTokens;
        tokensByHolder.set(
          grant.holder,
          (tokensByHolder.get(grant.holder) ?? 0) + tokens,
        );
      }
    }
    return this.membership.reachablePeers
      .filter(peer => (tokensByHolder.get(peer.incarnation) ?? 0) > 0)
      .sort(
        (one, other) =>
          (tokensByHolder.get(other.incarnation) ?? 0) -
          (tokensByHolder.get(one.incarnation) ?? 0),
      );
  }

  private async requestFromPeer(
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
      const {transfer} = await this.sendWithRetry(peer, request, signal);
      if (transfer !== undefined) {
        void this.appender.submit(transferEntry(organisation, transfer));
        this.grantManager.acceptTransfer(organisation, transfer);
        this.eventLog.info('grant transfer received', {
          organisation,
          peer: peer.incarnation,
          tokens: transfer.tokens,
        });
      }
    } catch (error) {
      this.eventLog.warn('transfer request failed', {
        organisation,
        peer: peer.incarnation,
        reason: String(error),
      });
    }
  }

  private async sendWithRetry(
    peer: ProcessIdentity,
    request: TransferGrantRequest,
    signal: AbortSignal,
  ): Promise<TransferGrantAnswer> {
    const client = this.peers.client(peer.controlAddress);
    const options = {signal, timeoutMs: REQUEST_TIMEOUT_MILLISECONDS};
    try {
      return await client.transferGrant(request, options);
    } catch {
      return client.transferGrant(request, options);
    }
  }
}

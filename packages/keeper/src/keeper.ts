import {create} from '@bufbuild/protobuf';
import {ControlServer} from '@wisteriadeal/runtime';
import {
  ProcessIdentitySchema,
  type KeeperSettings,
  type ProcessIdentity,
} from '@wisteriadeal/schema';
import {setMaxListeners} from 'node:events';

import {keeperOptions} from './keeper-options.js';
import {KeeperParts, type KeeperDependencies} from './keeper-parts.js';
import {KeeperReview} from './keeper-review.js';
import {registerKeeper} from './keeper-services.js';
import {StreamFollower} from './stream-follower.js';

/** Maximum time that a graceful stop waits for requests in progress. */
const DRAIN_TIMEOUT_MILLISECONDS = 60_000;
/** Maximum time that a graceful stop waits for the returns to be on the log. */
const RETURN_TIMEOUT_MILLISECONDS = 5_000;
const POLL_INTERVAL_MILLISECONDS = 50;

/** A running keeper. */
export class Keeper {
  private readonly stopController = new AbortController();
  private readonly tasks: Promise<void>[] = [];

  private constructor(
    readonly parts: KeeperParts,
    private readonly server: ControlServer,
  ) {}

  /**
   * Starts a keeper that listens on its control port and follows the log.
   *
   * @throws The system's error if the address can't be bound.
   * @example
   * ```ts
   * const keeper = await Keeper.start(settings, dependencies);
   * await keeper.close();
   * ```
   */
  static async start(
    settings: KeeperSettings,
    dependencies: KeeperDependencies,
  ): Promise<Keeper> {
    const options = keeperOptions(settings);
    const host = settings.process?.host ?? '';
    const self = create(ProcessIdentitySchema, {
      incarnation: `${host}/keeper/${dependencies.random.identifier()}`,
      host,
      dataCenter: settings.process?.dataCenter ?? '',
    });
    const parts = new KeeperParts(self, options, dependencies);
    const server = await ControlServer.listen(
      options.address,
      options.controlPort,
      router => {
        registerKeeper(router, parts);
      },
    );
    self.controlAddress = server.address;
    const keeper = new Keeper(parts, server);
    keeper.startTasks();
    dependencies.eventLog.info('listening', {
      controlAddress: server.address,
      incarnation: self.incarnation,
    });
    return keeper;
  }

  get identity(): ProcessIdentity {
    return this.parts.membership.self;
  }

  /**
   * Stops the keeper gracefully: accepts no new requests, waits for those in
   * progress, returns the grants, waits until no grant has it as its witness,
   * and then ends all tasks.
   */
  async close(): Promise<void> {
    const {
      membership,
      registry,
      grantManager,
      appender,
      reclaimer,
      keptEntries,
    } = this.parts;
    membership.startLeaving();
    await this.parts.gossip.announce();
    await this.waitUntil(
      () =>
        registry.unsettled.every(request =>
          this.parts.inherited.canBeTakenOver(request),
        ),
      DRAIN_TIMEOUT_MILLISECONDS,
    );
    await this.waitUntil(
      () =>
        grantManager.all.every(
          organisation => organisation.holdings.size === 0,
        ) && appender.pendingEntries === 0,
      RETURN_TIMEOUT_MILLISECONDS,
    );
    const {heartbeatLimitMilliseconds, fenceDelayMilliseconds} =
      this.parts.options;
    await this.waitUntil(
      () =>
        !reclaimer.isNeeded &&
        appender.pendingEntries === 0 &&
        keptEntries.size === 0,
      heartbeatLimitMilliseconds +
        fenceDelayMilliseconds +
        RETURN_TIMEOUT_MILLISECONDS,
    );
    if (!(await keptEntries.handOver(this.parts.entryCopies))) {
      this.parts.dependencies.eventLog.error('kept entries lost at shutdown', {
        entries: keptEntries.size,
      });
    }
    await this.kill();
  }

  /** Ends all tasks at once, as a crash would; grants are not returned. */
  async kill(): Promise<void> {
    this.stopController.abort();
    await this.server.close();
    await this.parts.links.close();
    this.parts.peers.close();
    await Promise.all(this.tasks);
  }

  private startTasks(): void {
    const {signal} = this.stopController;
    // Each stream, peer and call adds a listener to this signal, so Node's leak
    // warning at more than ten listeners does not apply.
    setMaxListeners(0, signal);
    const {parts} = this;
    const {log, clock, eventLog} = parts.dependencies;
    const review = new KeeperReview(parts);
    const followers = parts.streams.map(
      replica =>
        new StreamFollower(
          replica,
          log,
          parts.relayReader,
          parts.health,
          clock,
          eventLog,
        ),
    );
    this.tasks.push(
      ...followers.map(follower => follower.run(signal)),
      ...parts.replicas.all.map(({stream}) =>
        parts.appender.run(stream, signal),
      ),
      parts.gossip.run(signal),
      parts.gossip.pollHostList(signal),
      review.run(signal),
      review.runCheckpoints(signal),
    );
  }

  private async waitUntil(
    condition: () => boolean,
    timeoutMilliseconds: number,
  ): Promise<void> {
    const {clock} = this.parts.dependencies;
    const deadline = clock.monotonicMilliseconds() + timeoutMilliseconds;
    while (!condition() && clock.monotonicMilliseconds() < deadline) {
      await clock.sleep(POLL_INTERVAL_MILLISECONDS);
    }
  }
}

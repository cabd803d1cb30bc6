import {create} from '@bufbuild/protobuf';
import {ControlServer} from '@wisteriadeal/runtime';
import {
  ProcessIdentitySchema,
  type KeeperSettings,
  type ProcessIdentity,
} from '@wisteriadeal/schema';
import {setMaxListeners} from 'node:events';

import {keeperOptions} from './keeper-options.js';
import {KeeperParts, type KeeperSurroundings} from './keeper-parts.js';
import {KeeperReview} from './keeper-review.js';
import {registerKeeper} from './keeper-services.js';
import {RequestPhase} from './request-registry.js';
import {StreamFollower} from './stream-follower.js';

/** A graceful stop waits at most this long for requests in progress. */
const DRAIN_LIMIT_MILLISECONDS = 60_000;
/** A graceful stop waits at most this long for the log to take the returns. */
const RETURN_LIMIT_MILLISECONDS = 5_000;
const POLL_MILLISECONDS = 50;

/** One running keeper. */
export class Keeper {
  private readonly stopping = new AbortController();
  private readonly tasks: Promise<void>[] = [];

  private constructor(
    readonly parts: KeeperParts,
    private readonly server: ControlServer,
  ) {}

  /**
   * Listens, and follows the log from then on.
   *
   * @throws The system's error where the address can't be taken.
   * @example
   * ```ts
   * const keeper = await Keeper.start(settings, surroundings);
   * await keeper.close();
   * ```
   */
  static async start(
    settings: KeeperSettings,
    surroundings: KeeperSurroundings,
  ): Promise<Keeper> {
    const options = keeperOptions(settings);
    const host = settings.process?.host ?? '';
    const self = create(ProcessIdentitySchema, {
      incarnation: `${host}/keeper/${surroundings.random.identifier()}`,
      host,
      dataCenter: settings.process?.dataCenter ?? '',
    });
    const parts = new KeeperParts(self, options, surroundings);
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
    surroundings.eventLog.info('listening', {
      controlAddress: server.address,
      incarnation: self.incarnation,
    });
    return keeper;
  }

  /** This keeper's identity. */
  get identity(): ProcessIdentity {
    return this.parts.membership.self;
  }

  /**
   * Stops in good order: takes no new requests, waits for those in progress,
   * returns the grants, and leaves.
   */
  async close(): Promise<void> {
    const {membership, registry, grants, appender} = this.parts;
    membership.leave();
    await this.parts.gossip.announce();
    await this.waitUntil(
      () =>
        registry.inPhase(RequestPhase.Running).length === 0 &&
        registry.inPhase(RequestPhase.Reserving).length === 0 &&
        registry.inPhase(RequestPhase.Orphaned).length === 0,
      DRAIN_LIMIT_MILLISECONDS,
    );
    await this.waitUntil(
      () =>
        grants.all.every(organisation => organisation.holdings.size === 0) &&
        appender.pendingEntries === 0,
      RETURN_LIMIT_MILLISECONDS,
    );
    await this.kill();
  }

  /** Ends at once, as a lost process would; nothing is returned. */
  async kill(): Promise<void> {
    this.stopping.abort();
    await this.server.close();
    await this.parts.links.close();
    this.parts.peers.close();
    await Promise.all(this.tasks);
  }

  private startTasks(): void {
    const {signal} = this.stopping;
    // One task each stream, peer and call waits on it; the usual warning at ten
    // listeners is meant for leaks.
    setMaxListeners(0, signal);
    const {parts} = this;
    const {log, clock, eventLog} = parts.surroundings;
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
      parts.gossip.runList(signal),
      review.run(signal),
      review.runCheckpoints(signal),
    );
  }

  private async waitUntil(
    done: () => boolean,
    limitMilliseconds: number,
  ): Promise<void> {
    const {clock} = this.parts.surroundings;
    const deadline = clock.monotonicMilliseconds() + limitMilliseconds;
    while (!done() && clock.monotonicMilliseconds() < deadline) {
      await clock.sleep(POLL_MILLISECONDS);
    }
  }
}

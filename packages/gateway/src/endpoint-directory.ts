import {EntryOrders, EntryVerdict, isSameOrigin} from '@wisteriadeal/decisions';
import type {Clock, KeyedRecord} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {Dialect} from './dialect.js';
import type {EndpointEntry} from './endpoint-entry.js';
import {EndpointStatements} from './endpoint-statements/index.js';
import {areAllRecords, KeyedTopicReader} from './keyed-follower.js';
import {KnownEndpoint} from './known-endpoint.js';
import type {StoreHealth} from './store-health.js';

/**
 * Entries that disappear during a store outage are listed again within about
 * two seconds of its end; an entry still missing after this time is removed.
 */
const UNLISTED_GRACE_MILLISECONDS = 2_300;

/** Maximum time for a request to reach its endpoint, even over a full link. */
const MAXIMUM_TRANSIT_MILLISECONDS = 500;

/** Inputs that determine whether the endpoint list is stale. */
export interface ListStalenessOptions {
  /**
   * How long an endpoint accepts new requests after it is listed as leaving,
   * milliseconds.
   */
  readonly drainMilliseconds: number;
  /** Whether this host's own link may delay reads of the list. */
  readonly isLinkCongested: () => boolean;
}

/** What the operator has set for endpoints. */
export interface EndpointRules {
  /** Whether endpoints of the data centre get no new requests. */
  readonly isEvacuated: (dataCenter: string) => boolean;
  /** How long endpoints of the service are cold after a start, milliseconds. */
  readonly coldStartMilliseconds: (service: string) => number;
  /** Called for an entry some of whose fields have no valid value. */
  readonly onFieldsIgnored: () => void;
}

/** Called with an endpoint. */
type EndpointListener = (endpoint: KnownEndpoint) => void;

/**
 * Called with an endpoint that has renewed its entry.
 *
 * @param writtenAfter Monotonic clock, milliseconds.
 */
type HeartbeatListener = (
  endpoint: KnownEndpoint,
  writtenAfter: number,
) => void;

/**
 * Called when the complete list was read.
 *
 * @param position Every change before this offset is included.
 * @param isWholeHistory Whether the list had no other entries before.
 */
type ListReadListener = (position: number, isWholeHistory: boolean) => void;

/** The endpoints on the platform's list. */
export class EndpointDirectory extends KeyedTopicReader {
  /** What endpoints say of themselves in their answers. */
  readonly statements: EndpointStatements;
  private readonly endpoints = new Map<string, KnownEndpoint>();
  /**
   * Endpoints removed from the list around a store outage, with the time of
   * removal.
   */
  private readonly unlisted = new Map<string, number>();
  /** Offset of the latest record of each key. */
  private readonly offsets = new Map<string, number>();
  private readonly orders = new EntryOrders();
  private readonly readListeners: ListReadListener[] = [];
  private readonly listedListeners: EndpointListener[] = [];
  private readonly ignoredListeners: ((entry: EndpointEntry) => void)[] = [];
  private readonly goneListeners: EndpointListener[] = [];
  private readonly droppedListeners: EndpointListener[] = [];
  private readonly leavingListeners: EndpointListener[] = [];
  private readonly heartbeatListeners: HeartbeatListener[] = [];
  /**
   * The list includes every change written before this time; monotonic clock,
   * milliseconds.
   */
  private currentAsOf = -Infinity;
  private isStale = false;

  constructor(
    private readonly dialect: Dialect,
    private readonly health: StoreHealth,
    private readonly clock: Clock,
    private readonly events: EventLog,
    private readonly staleness: ListStalenessOptions,
    private readonly rules: EndpointRules,
  ) {
    super();
    this.statements = new EndpointStatements(clock, events, endpoint => {
      this.notifyLeaving(endpoint);
    });
  }

  /** Adds a listener that is called each time the complete list was read. */
  onRead(listener: ListReadListener): void {
    this.readListeners.push(listener);
  }

  /** Adds a listener that is called for each entry of an endpoint that is read. */
  onListed(listener: EndpointListener): void {
    this.listedListeners.push(listener);
  }

  /**
   * Adds a listener for entries that are ignored, as they don't seem to be the latest of
   * their endpoints. Hosts that have read fewer entries may use them.
   */
  onIgnored(listener: (entry: EndpointEntry) => void): void {
    this.ignoredListeners.push(listener);
  }

  /**
   * Adds a listener for endpoints that leave, by the list or by one of their answers,
   * whichever says so first.
   */
  onLeaving(listener: EndpointListener): void {
    this.leavingListeners.push(listener);
  }

  /** Adds a listener for endpoints that are off the list. */
  onGone(listener: EndpointListener): void {
    this.goneListeners.push(listener);
  }

  /**
   * Adds a listener for endpoints that this host knows no more: they are off the list, or
   * another one answers at their address.
   */
  onDropped(listener: EndpointListener): void {
    this.droppedListeners.push(listener);
  }

  /** Adds a listener for new entries of listed endpoints. */
  onHeartbeat(listener: HeartbeatListener): void {
    this.heartbeatListeners.push(listener);
  }

  /** All known endpoints, including those that are leaving. */
  get all(): readonly KnownEndpoint[] {
    return [...this.endpoints.values()];
  }

  /** Time since which changes of the list may be missing, milliseconds. */
  get listAgeMilliseconds(): number {
    return this.clock.monotonicMilliseconds() - this.currentAsOf;
  }

  /** Whether the latest call for the list was answered, so that changes are read. */
  get isReadable(): boolean {
    const now = this.clock.monotonicMilliseconds();
    return this.health.unavailableMilliseconds(now) === 0;
  }

  /** The endpoint with this identifier. */
  find(id: string): KnownEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /** The endpoints of a service that may get new requests. */
  openEndpoints(service: string): readonly KnownEndpoint[] {
    this.removeUnlisted();
    const cutoff = this.stalenessCutoff();
    this.updateStale(this.currentAsOf < cutoff);
    return this.all.filter(
      endpoint =>
        endpoint.entry.service === service &&
        this.isOpen(endpoint) &&
        Math.max(this.currentAsOf, endpoint.confirmedOpenAt) >= cutoff,
    );
  }

  /** Whether an endpoint may get new requests. */
  isOpen(endpoint: KnownEndpoint): boolean {
    return (
      endpoint.isOpen && !this.rules.isEvacuated(endpoint.entry.dataCenter)
    );
  }

  /** Whether a service has endpoints that get no requests only for an evacuation. */
  hasEvacuated(service: string): boolean {
    return this.all.some(
      endpoint =>
        endpoint.entry.service === service &&
        endpoint.isOpen &&
        !this.isOpen(endpoint),
    );
  }

  /** Records that the endpoints of a data centre may have become cold. */
  becameCold(dataCenter: string): void {
    const now = this.clock.monotonicMilliseconds();
    for (const {entry, warmth} of this.endpoints.values()) {
      if (entry.dataCenter === dataCenter) {
        warmth.started(now);
      }
    }
  }

  /**
   * Removes an endpoint permanently, because another one answers at its
   * address.
   */
  remove(endpoint: KnownEndpoint, reason: string): void {
    const {id} = endpoint.entry;
    if (this.endpoints.get(id) === endpoint) {
      this.drop(endpoint);
      this.events.info('endpoint removed', {endpoint: id, reason});
    }
  }

  /** Records that an endpoint's process was seen to have ended. */
  endpointEnded(incarnation: string, at: number): void {
    this.all
      .find(endpoint => endpoint.incarnation === incarnation)
      ?.hasEnded(at);
  }

  override changed(record: KeyedRecord): void {
    const {key, value, offset} = record;
    const knownOffset = this.offsets.get(key) ?? -1;
    if (offset < knownOffset) {
      return;
    }
    this.offsets.set(key, offset);
    if (value === undefined) {
      this.entryRemoved(key);
      return;
    }
    const entry = this.dialect.endpointEntry(key, value);
    if (entry === undefined) {
      this.events.warn('endpoint entry ignored', {
        endpoint: key,
        offset,
        reason: 'not a valid endpoint entry',
      });
      return;
    }
    if (entry.ignoredFields.length > 0) {
      this.rules.onFieldsIgnored();
      this.events.warn('endpoint fields ignored', {
        endpoint: key,
        offset,
        fields: entry.ignoredFields.join(', '),
      });
    }
    if (!this.isCurrent(entry, offset)) {
      return;
    }
    const endpoint = this.entryListed(entry, offset);
    for (const listener of this.listedListeners) {
      listener(endpoint);
    }
    if (offset > knownOffset) {
      endpoint.wasAlive(this.currentAsOf);
      if (!entry.isLeaving) {
        this.statements.listedAsReady(endpoint);
      }
      for (const listener of this.heartbeatListeners) {
        listener(endpoint, this.currentAsOf);
      }
    }
  }

  override replaced(records: readonly KeyedRecord[], position: number): void {
    const listed = records.filter(record => !this.isHiddenBy(record));
    const listedIds = new Set(listed.map(({key}) => key));
    for (const record of records) {
      this.changed(record);
    }
    for (const id of this.endpoints.keys()) {
      if (!listedIds.has(id)) {
        this.entryRemoved(id);
      }
    }
    for (const listener of this.readListeners) {
      listener(position, areAllRecords(records, 0, position));
    }
  }

  override caughtUp(asOf: number): void {
    this.currentAsOf = asOf;
    for (const [id, endpoint] of this.endpoints) {
      if (!this.unlisted.has(id)) {
        endpoint.wasListed(asOf);
      }
    }
  }

  /**
   * An endpoint last confirmed open before this time may have left. While
   * callers fill the host's link, the list can't be read, and requests chosen
   * from a stale list would reach endpoints that have left. In a store outage
   * no host can read a newer list, so the old one stays in use.
   */
  private stalenessCutoff(): number {
    const {drainMilliseconds, isLinkCongested} = this.staleness;
    return this.health.isOutage || !isLinkCongested()
      ? -Infinity
      : this.clock.monotonicMilliseconds() -
          Math.max(
            drainMilliseconds / 2,
            drainMilliseconds - MAXIMUM_TRANSIT_MILLISECONDS,
          );
  }

  private updateStale(isStale: boolean): void {
    if (isStale === this.isStale) {
      return;
    }
    this.isStale = isStale;
    const now = this.clock.monotonicMilliseconds();
    this.events.info(
      isStale ? 'endpoint list stale' : 'endpoint list current',
      {
        ageMilliseconds: Math.round(now - this.currentAsOf),
      },
    );
  }

  /**
   * Whether a record of the complete list is no entry, and hides whether its endpoint has
   * left since the last record of it that was read.
   */
  private isHiddenBy({key, value, offset}: KeyedRecord): boolean {
    return (
      this.endpoints.has(key) &&
      offset > (this.offsets.get(key) ?? -1) &&
      (value === undefined ||
        this.dialect.endpointEntry(key, value) === undefined)
    );
  }

  /**
   * Whether an entry is the latest that its endpoint wrote. The store may do a write
   * after later ones of the same endpoint.
   */
  private isCurrent(entry: EndpointEntry, offset: number): boolean {
    const {id: endpoint, sequence, bornAt} = entry;
    const now = this.clock.monotonicMilliseconds();
    const reason = this.orders.read(endpoint, entry, now);
    if (reason === EntryVerdict.Current) {
      return true;
    }
    if (reason === EntryVerdict.OlderStart) {
      // Unless it is late, the endpoint has started again after its clock was set back.
      this.endpoints.get(endpoint)?.hasEnded(now);
    }
    this.events.warn('late endpoint entry ignored', {
      endpoint,
      offset,
      sequence,
      bornAt,
      reason,
    });
    for (const listener of this.ignoredListeners) {
      listener(entry);
    }
    return false;
  }

  private entryListed(entry: EndpointEntry, offset: number): KnownEndpoint {
    this.unlisted.delete(entry.id);
    const known = this.endpoints.get(entry.id);
    if (known !== undefined && isSameStart(known.entry, entry)) {
      this.update(known, entry, offset);
      this.learnCold(known);
      return known;
    }
    const conditions =
      known === undefined
        ? this.statements.conditionsOf(entry)
        : this.statements.conditionsAfter(known, entry);
    if (known !== undefined) {
      const isEqual = isSameOrigin(known.entry, entry);
      known.isReplacedByOther = !isEqual;
      known.isReplacedByEqual = isEqual;
      this.forget(known);
    }
    const endpoint = new KnownEndpoint(
      entry,
      () => {
        this.events.info('circuit breaker opened', {endpoint: entry.id});
      },
      () => this.rules.coldStartMilliseconds(entry.service),
      conditions,
    );
    this.endpoints.set(entry.id, endpoint);
    this.learnCold(endpoint);
    this.events.info('endpoint listed', {
      endpoint: entry.id,
      service: entry.service,
      build: entry.build,
      isLeaving: entry.isLeaving,
      coldMilliseconds: entry.coldMilliseconds,
      offset,
    });
    return endpoint;
  }

  /** The entry may be older than its reading, so that the time is an upper bound. */
  private learnCold({entry, warmth}: KnownEndpoint): void {
    const now = this.clock.monotonicMilliseconds();
    warmth.stated(entry.coldMilliseconds ?? 0, now);
  }

  private drop(endpoint: KnownEndpoint): void {
    this.endpoints.delete(endpoint.entry.id);
    for (const listener of this.droppedListeners) {
      listener(endpoint);
    }
  }

  private forget(endpoint: KnownEndpoint): void {
    this.drop(endpoint);
    for (const listener of this.goneListeners) {
      listener(endpoint);
    }
  }

  private update(
    known: KnownEndpoint,
    entry: EndpointEntry,
    offset: number,
  ): void {
    const isNewlyListed = entry.isLeaving && !known.entry.isLeaving;
    const wasLeaving = known.isLeaving;
    // A start that has said that it leaves never takes requests again.
    const hasLeft = known.entry.isLeaving && entry.bornAt > 0;
    known.entry = hasLeft ? {...entry, isLeaving: true} : entry;
    if (isNewlyListed) {
      this.events.info('endpoint leaving', {endpoint: entry.id, offset});
    }
    if (isNewlyListed && !wasLeaving) {
      this.notifyLeaving(known);
    }
  }

  private notifyLeaving(endpoint: KnownEndpoint): void {
    for (const listener of this.leavingListeners) {
      listener(endpoint);
    }
  }

  private entryRemoved(id: string): void {
    const now = this.clock.monotonicMilliseconds();
    this.orders.removed(id, now);
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) {
      return;
    }
    if (
      this.health.millisecondsSinceOutage(now) < UNLISTED_GRACE_MILLISECONDS
    ) {
      this.unlisted.set(id, now);
      this.events.warn('unlisted endpoint kept', {endpoint: id});
      return;
    }
    this.forget(endpoint);
    this.events.info('endpoint gone', {endpoint: id});
  }

  private removeUnlisted(): void {
    if (this.unlisted.size === 0) {
      return;
    }
    const now = this.clock.monotonicMilliseconds();
    if (
      this.health.millisecondsSinceOutage(now) < UNLISTED_GRACE_MILLISECONDS
    ) {
      return;
    }
    for (const id of this.unlisted.keys()) {
      const endpoint = this.endpoints.get(id);
      if (endpoint !== undefined) {
        this.forget(endpoint);
      }
      this.events.info('endpoint gone', {
        endpoint: id,
        reason: 'not listed again after the store outage',
      });
    }
    this.unlisted.clear();
  }
}

/** Whether two entries of an identifier are of one start of the endpoint. */
function isSameStart(one: EndpointEntry, other: EndpointEntry): boolean {
  return one.bornAt === other.bornAt && one.build === other.build;
}

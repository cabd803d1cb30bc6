import {
  HostPlaces,
  ownPlaces,
  PlaceWait,
  ServiceBrittleness,
  type Allotment,
  type EndpointUse,
  type HostPlace,
} from '@wisteriadeal/decisions';
import {NetworkTimeout, type Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {ChosenEndpoint} from '../endpoint-chooser.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import type {AllotmentMessage, ReportMessage} from './place-messages.js';
import type {PlaceTimes} from './place-times.js';
import {PlaceWaiters, type PlaceWaiter} from './place-waiters.js';

/** Dependencies of `ServicePlaces`. */
export interface ServicePlacesParts {
  readonly service: string;
  /** Name of this host. */
  readonly host: string;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly times: () => PlaceTimes;
  /** The endpoints that this host can send requests to. */
  readonly endpoints: () => readonly KnownEndpoint[];
  /** This host among all hosts. */
  readonly place: () => HostPlace;
  /** Requests that an endpoint has room for. */
  readonly roomOf: (endpoint: KnownEndpoint) => number;
  /** The host that divides the places now. */
  readonly divider: () => PlaceHost;
  /** Hands this host's places over. Rejects if the other host did not answer. */
  readonly report: (
    divider: PlaceHost,
    message: ReportMessage,
  ) => Promise<AllotmentMessage>;
}

/** A host that may divide places. */
export interface PlaceHost {
  readonly host: string;
  /** `IP:port` of its server for other hosts. */
  readonly address: string;
}

/** A request that asks for a place. */
export interface PlaceRequest {
  /** From 0, the most urgent. */
  readonly priority: number;
  /** One that has to wait for longer is not let in, milliseconds. */
  readonly goalMilliseconds: number;
  /** Longest wait, milliseconds. */
  readonly limitMilliseconds: number;
  /** Aborted when the request should not wait any more. */
  readonly signal: AbortSignal;
  /** Selects an endpoint with a free place; undefined if none suits the request. */
  choose(): ChosenEndpoint | undefined;
}

/** An endpoint whose place is kept for a request until it is sent or given up. */
export interface HeldPlace {
  readonly chosen: ChosenEndpoint;
  /** Must be called exactly once. */
  close(): void;
}

/** What happened to an attempt that has ended. */
export interface EndedAttempt {
  /** How long it had its place; undefined if it was not sent. */
  readonly milliseconds: number | undefined;
  /** Whether the endpoint may still work on it. */
  readonly mayGoOn: boolean;
}

/** An endpoint that refused a request gets none of this host for so long, milliseconds. */
const PAUSE_MILLISECONDS = 300;
/** Longest time for which an endpoint works on a request whose connection was closed. */
const MAXIMUM_LINGER_MILLISECONDS = 1_000;

/**
 * This host's requests to a service whose endpoints are brittle. A request is sent only
 * if it has a place at its endpoint; others wait here.
 */
export class ServicePlaces {
  readonly brittleness = new ServiceBrittleness();
  private readonly places = new HostPlaces();
  private readonly waiters = new PlaceWaiters();
  private readonly wait = new PlaceWait();
  /** Places that are neither free nor used by a request in progress, by endpoint. */
  private readonly held = new Map<string, number>();
  private readonly refusals = new Map<string, number>();
  private readonly pausedUntil = new Map<string, number>();
  /** Ends the pause between two reports. */
  private wakeUp: () => void = () => undefined;
  /** Name of the host that has this one's places; undefined if that was lost. */
  private divider: string | undefined;
  private isActive = false;
  private isClosed = false;
  private isShort = false;
  private isTight = false;

  constructor(private readonly parts: ServicePlacesParts) {}

  /** Whether requests need places now. */
  get isGuarded(): boolean {
    return this.brittleness.isBrittle(this.now());
  }

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.waiters.size;
  }

  /** Hands over and asks for places for as long as the endpoints are brittle. */
  start(): void {
    if (!this.isActive && this.isGuarded) {
      this.isActive = true;
      void this.run();
    }
  }

  /** Whether a request may be sent to the endpoint. */
  mayTake(endpoint: KnownEndpoint): boolean {
    return (
      !this.isGuarded ||
      (this.freeAt(endpoint) > 0 && this.parts.endpoints().includes(endpoint))
    );
  }

  /** Time until a request of any priority has a place, milliseconds. */
  get expectedMilliseconds(): number {
    return this.expectedAfter(this.waiters.size);
  }

  /**
   * Resolves with an endpoint once the request has a place; undefined if it would have
   * to wait for too long.
   */
  async waitFor(request: PlaceRequest): Promise<HeldPlace | undefined> {
    const {priority, goalMilliseconds, limitMilliseconds, signal} = request;
    const expected = this.expectedAfter(this.waiters.ahead(priority));
    if (expected > goalMilliseconds || signal.aborted || this.isClosed) {
      return undefined;
    }
    const chosen = await new Promise<ChosenEndpoint | undefined>(resolve => {
      const giveUp = () => {
        waiter.resolve(undefined);
      };
      const timeout = new NetworkTimeout(limitMilliseconds, giveUp);
      const waiter: PlaceWaiter = {
        priority,
        choose: () => request.choose(),
        resolve: place => {
          timeout.close();
          signal.removeEventListener('abort', giveUp);
          this.waiters.remove(waiter);
          resolve(place);
        },
      };
      signal.addEventListener('abort', giveUp);
      this.waiters.add(waiter);
      this.serve();
      this.wakeUp();
    });
    return chosen && this.heldPlace(chosen);
  }

  /** Records that an attempt at an endpoint has ended. */
  attemptEnded(
    endpoint: KnownEndpoint,
    {milliseconds, mayGoOn}: EndedAttempt,
  ): void {
    if (milliseconds !== undefined) {
      this.wait.placeFreed(milliseconds);
    }
    if (mayGoOn && this.isGuarded) {
      void this.linger(endpoint);
    }
    this.placesFreed();
  }

  /** Records that an endpoint refused a request for want of room. */
  refused({incarnation}: KnownEndpoint): void {
    if (this.isGuarded) {
      const count = this.refusals.get(incarnation) ?? 0;
      this.refusals.set(incarnation, count + 1);
      this.pausedUntil.set(incarnation, this.now() + PAUSE_MILLISECONDS);
      this.wakeUp();
    }
  }

  /** Ends all waits. */
  close(): void {
    this.isClosed = true;
    this.wakeUp();
    this.waiters.close();
  }

  private async run(): Promise<void> {
    const {clock, events, service} = this.parts;
    events.info('places divided', {service});
    while (this.isGuarded && !this.isClosed) {
      await this.exchange();
      const {paceMilliseconds, renewalMilliseconds} = this.parts.times();
      await clock.sleep(paceMilliseconds);
      if (!this.needsExchange) {
        await this.untilWoken(renewalMilliseconds - paceMilliseconds);
      }
    }
    this.isActive = false;
    events.info('places no longer divided', {service});
    this.pausedUntil.clear();
    this.refusals.clear();
    this.serve();
  }

  /** Whether this host needs more places, or has some that others need. */
  private get needsExchange(): boolean {
    const free = this.parts
      .endpoints()
      .reduce((sum, endpoint) => sum + Math.max(0, this.freeAt(endpoint)), 0);
    return (
      this.refusals.size > 0 ||
      (this.waiters.size > 0 ? free === 0 : this.isTight && free > 0)
    );
  }

  private async exchange(): Promise<void> {
    const {service, events} = this.parts;
    const divider = this.parts.divider();
    if (divider.host !== this.divider && this.places.isBound(this.now())) {
      // Another host may still give this one's places out.
      return;
    }
    if (divider.host !== this.divider) {
      events.info('places handed over', {service, to: divider.host});
      this.divider = divider.host;
    }
    const endpoints = this.uses();
    this.refusals.clear();
    const {bindingMilliseconds, lostMilliseconds} = this.parts.times();
    const kept: Allotment = new Map(
      endpoints.map(use => [use.endpoint, use.running]),
    );
    const sentAt = this.now();
    this.places.handedOver(kept, sentAt + bindingMilliseconds);
    try {
      this.takeUp(await this.parts.report(divider, this.message(endpoints)));
    } catch (error) {
      events.info('places not reported', {
        service,
        to: divider.host,
        reason: String(error),
      });
      const lostAt = this.now() + lostMilliseconds;
      this.places.handedOver(
        kept,
        Math.min(lostAt, sentAt + bindingMilliseconds),
      );
      this.divider = undefined;
    }
    this.serve();
  }

  private message(endpoints: readonly EndpointUse[]): ReportMessage {
    const {host, service} = this.parts;
    return {
      report: {host, waiting: this.waiters.size, endpoints},
      news: {
        service,
        saidMillisecondsAgo: this.now() - this.brittleness.latestSaidAt,
      },
    };
  }

  private takeUp({allotment, news, isShort, isTight}: AllotmentMessage): void {
    this.places.allotted(allotment);
    this.isShort = isShort;
    this.isTight = isTight;
    this.brittleness.told(this.now() - news.saidMillisecondsAgo);
  }

  private uses(): readonly EndpointUse[] {
    return this.parts.endpoints().map(endpoint => ({
      endpoint: endpoint.incarnation,
      room: this.parts.roomOf(endpoint),
      ownPlaces: this.ownAt(endpoint),
      running: this.usedAt(endpoint),
      refusals: this.refusals.get(endpoint.incarnation) ?? 0,
    }));
  }

  private ownAt(endpoint: KnownEndpoint): number {
    const {place, roomOf} = this.parts;
    return ownPlaces(endpoint.incarnation, roomOf(endpoint), place());
  }

  private usedAt({load, incarnation}: KnownEndpoint): number {
    return load + (this.held.get(incarnation) ?? 0);
  }

  private freeAt(endpoint: KnownEndpoint): number {
    const now = this.now();
    return now < (this.pausedUntil.get(endpoint.incarnation) ?? -Infinity)
      ? 0
      : this.placesAt(endpoint, now) - this.usedAt(endpoint);
  }

  private placesAt(endpoint: KnownEndpoint, now: number): number {
    return (
      this.places.allottedAt(endpoint.incarnation, now) ?? this.ownAt(endpoint)
    );
  }

  /** Other hosts give places back at once if there are enough for all. */
  private expectedAfter(ahead: number): number {
    return this.isShort
      ? this.wait.expectedMilliseconds(ahead, this.allPlaces())
      : 0;
  }

  private allPlaces(): number {
    const now = this.now();
    return this.parts
      .endpoints()
      .reduce((sum, endpoint) => sum + this.placesAt(endpoint, now), 0);
  }

  private placesFreed(): void {
    this.serve();
    if (this.isActive && this.needsExchange) {
      this.wakeUp();
    }
  }

  private serve(): void {
    this.waiters.serve(({endpoint}) => {
      this.hold(endpoint, 1);
    });
  }

  /** Resolves after a delay, or when this host needs to report. */
  private async untilWoken(milliseconds: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timeout = new NetworkTimeout(milliseconds, resolve);
      this.wakeUp = () => {
        timeout.close();
        resolve();
      };
    });
    this.wakeUp = () => undefined;
  }

  private heldPlace(chosen: ChosenEndpoint): HeldPlace {
    return {
      chosen,
      close: () => {
        this.hold(chosen.endpoint, -1);
        this.placesFreed();
      },
    };
  }

  private hold({incarnation}: KnownEndpoint, change: 1 | -1): void {
    const held = (this.held.get(incarnation) ?? 0) + change;
    if (held === 0) {
      this.held.delete(incarnation);
    } else {
      this.held.set(incarnation, held);
    }
  }

  /** Keeps the place of a request that the endpoint may not know to be cancelled. */
  private async linger(endpoint: KnownEndpoint): Promise<void> {
    this.hold(endpoint, 1);
    await this.parts.clock.sleep(
      Math.min(MAXIMUM_LINGER_MILLISECONDS, this.wait.usualMilliseconds),
    );
    this.hold(endpoint, -1);
    this.placesFreed();
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

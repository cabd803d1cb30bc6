import type {HostPlace} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {decidingHosts} from '../deciding-hosts.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import {PlaceDivider} from './place-divider.js';
import type {
  AllotmentMessage,
  BrittleKnowledge,
  ReportMessage,
} from './place-messages.js';
import {PlaceHolder, type PlacePeers} from './place-peers.js';
import {placeTimes, type PlaceTimes} from './place-times.js';
import {
  ServicePlaces,
  type EndedAttempt,
  type HeldPlace,
  type PlaceHost,
  type PlaceRequest,
} from './service-places.js';

/** Dependencies of `EndpointPlaces`. */
export interface EndpointPlacesParts {
  /** Name of this host. */
  readonly host: string;
  readonly peers: PlacePeers;
  readonly clock: Clock;
  readonly events: EventLog;
  /** The endpoints of a service that this host can send requests to. */
  readonly endpointsOf: (service: string) => readonly KnownEndpoint[];
  /** Tokens that running requests of a service share at an endpoint, if it is known. */
  readonly memoryTokensOf: (service: string) => number | undefined;
  /** This host among all hosts. */
  readonly place: () => HostPlace;
  readonly otherHosts: () => readonly PlaceHost[];
}

/** A host that did not answer divides nothing for so long, milliseconds. */
const DOUBT_MILLISECONDS = 3_000;
/** Hosts that have not reported are told again after this time, milliseconds. */
const TELLING_MILLISECONDS = 1_000;
/** Age of what is known of the other hosts, milliseconds. */
const PLACE_MILLISECONDS = 100;
/** Weight of the newest request in the mean of their sizes. */
const NEWEST_WEIGHT = 0.05;

/**
 * The places of requests at the endpoints of services that are brittle. An endpoint that
 * has to refuse many requests falls over, and what it has room for is divided among the
 * hosts before they send any. All other services are left alone.
 */
export class EndpointPlaces extends PlaceHolder {
  private readonly services = new Map<string, ServicePlaces>();
  private readonly dividers = new Map<string, PlaceDivider>();
  private readonly doubtedUntil = new Map<string, number>();
  private readonly toldAt = new Map<string, number>();
  private readonly meanTokens = new Map<string, number>();
  private currentPlace: HostPlace = {rank: 0, hosts: 1};
  private placedAt = -Infinity;
  private isClosed = false;

  constructor(private readonly parts: EndpointPlacesParts) {
    super();
  }

  /** Requests that wait for a place. */
  get waiting(): number {
    return [...this.services.values()].reduce(
      (sum, {waiting}) => sum + waiting,
      0,
    );
  }

  /**
   * Takes up an answer of an endpoint.
   *
   * @param isBrittle Whether the endpoint says that it is.
   * @param sentAt When the request was sent, on the monotonic clock, milliseconds.
   */
  answered(endpoint: KnownEndpoint, isBrittle: boolean, sentAt: number): void {
    const {service} = endpoint.entry;
    if (isBrittle) {
      this.of(service).brittleness.said(endpoint.incarnation, this.now());
      this.of(service).start();
    } else {
      this.services
        .get(service)
        ?.brittleness.saidNothing(endpoint.incarnation, sentAt);
    }
  }

  /** Whether requests to a service need places. */
  isGuarded(service: string): boolean {
    return this.services.get(service)?.isGuarded === true;
  }

  /** Whether a request may be sent to an endpoint. */
  mayTake(endpoint: KnownEndpoint): boolean {
    return this.services.get(endpoint.entry.service)?.mayTake(endpoint) ?? true;
  }

  /** Waits for a place; undefined if a request would have to wait for too long. */
  waitFor(
    service: string,
    request: PlaceRequest,
  ): Promise<HeldPlace | undefined> {
    return this.of(service).waitFor(request);
  }

  /** Time until a request to a service has a place, milliseconds. */
  expectedMilliseconds(service: string): number {
    return this.services.get(service)?.expectedMilliseconds ?? 0;
  }

  /**
   * Records that a request was sent.
   *
   * @param tokens Upper bound on the tokens that it can use.
   */
  requestSent({entry: {service}}: KnownEndpoint, tokens: number): void {
    const mean = this.meanTokens.get(service) ?? tokens;
    this.meanTokens.set(service, mean + NEWEST_WEIGHT * (tokens - mean));
  }

  /** Records that an attempt has ended. */
  attemptEnded(endpoint: KnownEndpoint, attempt: EndedAttempt): void {
    this.services.get(endpoint.entry.service)?.attemptEnded(endpoint, attempt);
  }

  /** Records that an endpoint refused a request for want of room. */
  refused(endpoint: KnownEndpoint): void {
    this.services.get(endpoint.entry.service)?.refused(endpoint);
  }

  override async receiveReport({
    report,
    news,
  }: ReportMessage): Promise<AllotmentMessage> {
    const {service} = news;
    this.receiveNews(news);
    const divider = this.dividerOf(service);
    const allotment = await divider.receive(report);
    return {
      allotment,
      news: {service, saidMillisecondsAgo: this.ageOf(service)},
      isShort: divider.isShort,
      isTight: divider.isTight,
    };
  }

  override receiveNews({service, saidMillisecondsAgo}: BrittleKnowledge): void {
    if (!this.isClosed) {
      const places = this.of(service);
      places.brittleness.told(this.now() - saidMillisecondsAgo);
      places.start();
    }
  }

  /** Ends all waits. */
  close(): void {
    this.isClosed = true;
    for (const places of this.services.values()) {
      places.close();
    }
    this.parts.peers.close();
  }

  private of(service: string): ServicePlaces {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const {host, clock, events, endpointsOf} = this.parts;
    const places = new ServicePlaces({
      service,
      host,
      times: () => this.times(),
      clock,
      events,
      endpoints: () => endpointsOf(service),
      place: () => this.place(),
      roomOf: endpoint => this.roomOf(endpoint),
      divider: () => this.chooseDivider(service),
      report: (divider, message) => this.report(divider, message),
    });
    this.services.set(service, places);
    return places;
  }

  private dividerOf(service: string): PlaceDivider {
    const known = this.dividers.get(service);
    if (known !== undefined) {
      return known;
    }
    const divider = new PlaceDivider(() => this.times(), this.parts.clock);
    this.dividers.set(service, divider);
    return divider;
  }

  private times(): PlaceTimes {
    return placeTimes(this.place().hosts);
  }

  private place(): HostPlace {
    const now = this.now();
    if (now - this.placedAt >= PLACE_MILLISECONDS) {
      this.currentPlace = this.parts.place();
      this.placedAt = now;
    }
    return this.currentPlace;
  }

  private roomOf({entry: {service, slots}}: KnownEndpoint): number {
    const memoryTokens = this.parts.memoryTokensOf(service) ?? Infinity;
    const meanTokens = Math.max(1, this.meanTokens.get(service) ?? 0);
    return Math.max(1, Math.min(slots, Math.floor(memoryTokens / meanTokens)));
  }

  private chooseDivider(service: string): PlaceHost {
    const {host, otherHosts} = this.parts;
    const now = this.now();
    const others = otherHosts().filter(
      ({address}) => now >= (this.doubtedUntil.get(address) ?? -Infinity),
    );
    const names = [host, ...others.map(other => other.host)];
    const [chosen] = decidingHosts(service, names, 1);
    return others.find(other => other.host === chosen) ?? {host, address: ''};
  }

  private async report(
    divider: PlaceHost,
    message: ReportMessage,
  ): Promise<AllotmentMessage> {
    const {host, peers} = this.parts;
    if (divider.host === host) {
      void this.tellOthers(message.news.service);
      return this.receiveReport(message);
    }
    try {
      return await peers.report(divider.address, message);
    } catch (error) {
      this.doubtedUntil.set(divider.address, this.now() + DOUBT_MILLISECONDS);
      throw error;
    }
  }

  /** Hosts without requests to the service hand their places over once they are told. */
  private async tellOthers(service: string): Promise<void> {
    const {otherHosts, peers, events} = this.parts;
    const now = this.now();
    const told = this.toldAt.get(service) ?? -Infinity;
    if (now - told < TELLING_MILLISECONDS || !this.isGuarded(service)) {
      return;
    }
    this.toldAt.set(service, now);
    const divider = this.dividerOf(service);
    const news = {service, saidMillisecondsAgo: this.ageOf(service)};
    const silent = otherHosts().filter(({host}) => !divider.hasReport(host));
    const results = await Promise.allSettled(
      silent.map(({address}) => peers.tell(address, news)),
    );
    const failed = results.filter(({status}) => status === 'rejected').length;
    if (failed > 0) {
      events.info('brittleness not told', {service, hosts: failed});
    }
  }

  private ageOf(service: string): number {
    const {latestKnownAt} = this.of(service).brittleness;
    return this.now() - latestKnownAt;
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

import type {EndpointDescription} from '@wisteriadeal/decisions';
import type {
  Clock,
  ModelEngine,
  ModelEngineFactory,
  PlainService,
  PlainServiceFactory,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {
  EndpointState,
  ServiceKind,
  type Configuration,
  type Endpoint,
  type Service,
} from '@wisteriadeal/schema';

import type {LoadDispatcher} from './load-dispatcher.js';

/**
 * An engine's report is asked for once a second: it lags by about as much, and
 * its own word that it leaves must be known within three seconds.
 */
const LOAD_REPORT_MILLISECONDS = 1_000;

interface KnownEndpoint {
  readonly endpoint: Endpoint;
  readonly engine: ModelEngine | undefined;
  readonly plainService: PlainService | undefined;
  readonly stop: AbortController;
  /** The endpoint itself says that it leaves. */
  saysLeaving: boolean;
}

/** What the directory is made with. */
export interface EndpointDirectoryOptions {
  readonly engines: ModelEngineFactory;
  readonly plainServices: PlainServiceFactory;
  readonly dispatcher: LoadDispatcher;
  readonly leavingEndpoints: () => ReadonlySet<string>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * The endpoints of the configuration in force, with a client and, for engines, a
 * task that reads load reports. An endpoint gets no new work from the first of:
 * the platform's list, the configuration, its own word.
 */
export class EndpointDirectory {
  private readonly known = new Map<string, KnownEndpoint>();
  private readonly retired = new Set<KnownEndpoint>();
  private configuration: Configuration | undefined;

  constructor(private readonly options: EndpointDirectoryOptions) {}

  /** Client of a model engine. */
  engine(endpoint: string): ModelEngine | undefined {
    return this.known.get(endpoint)?.engine;
  }

  /** Client of a plain service's endpoint. */
  plainService(endpoint: string): PlainService | undefined {
    return this.known.get(endpoint)?.plainService;
  }

  /** Takes a new configuration. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    const services = new Map(
      configuration.services.map(service => [service.name, service]),
    );
    const listed = new Map(
      configuration.endpoints.map(endpoint => [endpoint.name, endpoint]),
    );
    for (const [name, known] of this.known) {
      if (listed.get(name)?.address !== known.endpoint.address) {
        this.retire(name, known);
      }
    }
    for (const endpoint of configuration.endpoints) {
      this.connect(endpoint, services.get(endpoint.service));
    }
    this.refresh();
  }

  /** Hands the endpoints, as they are now, to the decisions. */
  refresh(): void {
    const leaving = this.options.leavingEndpoints();
    const services = new Map(
      this.configuration?.services.map(service => [service.name, service]),
    );
    const descriptions = [...this.known.values()].map(known =>
      this.describe(known, services.get(known.endpoint.service), leaving),
    );
    this.options.dispatcher.updateEndpoints(descriptions);
  }

  /** Names and states, for a dump. */
  summary(): readonly {readonly endpoint: string; readonly leaving: boolean}[] {
    const leaving = this.options.leavingEndpoints();
    return [...this.known.values()].map(known => ({
      endpoint: known.endpoint.name,
      leaving: this.describe(known, undefined, leaving).leaving,
    }));
  }

  /** Ends all clients. */
  async close(): Promise<void> {
    const all = [...this.known.values(), ...this.retired];
    for (const known of all) {
      known.stop.abort();
    }
    for (const known of all) {
      await known.engine?.close();
      await known.plainService?.close();
    }
  }

  private describe(
    known: KnownEndpoint,
    service: Service | undefined,
    leaving: ReadonlySet<string>,
  ): EndpointDescription {
    const {endpoint} = known;
    return {
      endpoint: endpoint.name,
      service: endpoint.service,
      models: service?.models ?? [],
      dataCenter: endpoint.dataCenter,
      slots: endpoint.slots,
      leaving:
        known.saysLeaving ||
        leaving.has(endpoint.name) ||
        endpoint.state === EndpointState.LEAVING,
    };
  }

  private connect(endpoint: Endpoint, service: Service | undefined): void {
    const former = this.known.get(endpoint.name);
    if (former !== undefined) {
      this.known.set(endpoint.name, {...former, endpoint});
      return;
    }
    const isModel = service?.kind === ServiceKind.MODEL;
    const {name, address} = endpoint;
    const known: KnownEndpoint = {
      endpoint,
      engine: isModel ? this.options.engines.connect(name, address) : undefined,
      plainService: isModel
        ? undefined
        : this.options.plainServices.connect(name, address),
      stop: new AbortController(),
      saysLeaving: false,
    };
    this.known.set(name, known);
    if (known.engine !== undefined) {
      void this.readReports(name, known.engine, known.stop.signal);
    }
  }

  /**
   * Work in progress at an endpoint that left the configuration still needs its
   * connections, so the client is kept until the process ends.
   */
  private retire(name: string, known: KnownEndpoint): void {
    known.stop.abort();
    this.known.delete(name);
    this.retired.add(known);
  }

  private async readReports(
    name: string,
    engine: ModelEngine,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, dispatcher, log} = this.options;
    while (!signal.aborted) {
      try {
        const load = await engine.load(signal);
        dispatcher.report(name, load);
        this.noteLeaving(name, load.leaving);
      } catch (error) {
        log.debug('load-report-missing', {peer: name, reason: String(error)});
      }
      await clock.sleep(LOAD_REPORT_MILLISECONDS, signal);
    }
  }

  private noteLeaving(name: string, leaving: boolean): void {
    const known = this.known.get(name);
    if (known !== undefined && known.saysLeaving !== leaving) {
      known.saysLeaving = leaving;
      this.refresh();
    }
  }
}

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
 * Interval of polling an engine's load report. The report itself lags by about a
 * second, and an engine's announcement that it is leaving must be noticed within
 * three seconds.
 */
const LOAD_REPORT_INTERVAL_MILLISECONDS = 1_000;

interface EndpointConnection {
  readonly endpoint: Endpoint;
  readonly engine: ModelEngine | undefined;
  readonly plainService: PlainService | undefined;
  readonly pollingController: AbortController;
  /** Whether the endpoint's last load report says that it is leaving. */
  reportsLeaving: boolean;
}

/** Dependencies of the directory. */
export interface EndpointDirectoryOptions {
  readonly engineFactory: ModelEngineFactory;
  readonly plainServiceFactory: PlainServiceFactory;
  readonly dispatcher: LoadDispatcher;
  readonly leavingEndpoints: () => ReadonlySet<string>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * The endpoints of the configuration in force, each with a client and, for
 * engines, a task that polls load reports. An endpoint gets no new work as soon
 * as the platform's list, the configuration or its own load report says that it
 * is leaving.
 */
export class EndpointDirectory {
  private readonly connections = new Map<string, EndpointConnection>();
  private readonly retired = new Set<EndpointConnection>();
  private configuration: Configuration | undefined;

  constructor(private readonly options: EndpointDirectoryOptions) {}

  /** Returns the client of a model engine's endpoint. */
  engine(endpoint: string): ModelEngine | undefined {
    return this.connections.get(endpoint)?.engine;
  }

  /** Returns the client of a plain service's endpoint. */
  plainService(endpoint: string): PlainService | undefined {
    return this.connections.get(endpoint)?.plainService;
  }

  /** Applies a new configuration. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    const services = new Map(
      configuration.services.map(service => [service.name, service]),
    );
    const listed = new Map(
      configuration.endpoints.map(endpoint => [endpoint.name, endpoint]),
    );
    for (const [name, connection] of this.connections) {
      if (listed.get(name)?.address !== connection.endpoint.address) {
        this.retire(name, connection);
      }
    }
    for (const endpoint of configuration.endpoints) {
      this.connect(endpoint, services.get(endpoint.service));
    }
    this.refresh();
  }

  /** Passes the current endpoints and their states to the dispatcher. */
  refresh(): void {
    const leaving = this.options.leavingEndpoints();
    const services = new Map(
      this.configuration?.services.map(service => [service.name, service]),
    );
    const descriptions = [...this.connections.values()].map(connection =>
      this.describe(
        connection,
        services.get(connection.endpoint.service),
        leaving,
      ),
    );
    this.options.dispatcher.updateEndpoints(descriptions);
  }

  /** Names and states of all endpoints, for inspection. */
  summary(): readonly {readonly endpoint: string; readonly leaving: boolean}[] {
    const leaving = this.options.leavingEndpoints();
    return [...this.connections.values()].map(connection => ({
      endpoint: connection.endpoint.name,
      leaving: this.describe(connection, undefined, leaving).leaving,
    }));
  }

  /** Stops polling and closes all clients. */
  async close(): Promise<void> {
    const all = [...this.connections.values(), ...this.retired];
    for (const connection of all) {
      connection.pollingController.abort();
    }
    for (const connection of all) {
      await connection.engine?.close();
      await connection.plainService?.close();
    }
  }

  private describe(
    connection: EndpointConnection,
    service: Service | undefined,
    leaving: ReadonlySet<string>,
  ): EndpointDescription {
    const {endpoint} = connection;
    return {
      endpoint: endpoint.name,
      service: endpoint.service,
      models: service?.models ?? [],
      dataCenter: endpoint.dataCenter,
      slots: endpoint.slots,
      leaving:
        connection.reportsLeaving ||
        leaving.has(endpoint.name) ||
        endpoint.state === EndpointState.LEAVING,
    };
  }

  private connect(endpoint: Endpoint, service: Service | undefined): void {
    const existing = this.connections.get(endpoint.name);
    if (existing !== undefined) {
      this.connections.set(endpoint.name, {...existing, endpoint});
      return;
    }
    const isModel = service?.kind === ServiceKind.MODEL;
    const {name, address} = endpoint;
    const connection: EndpointConnection = {
      endpoint,
      engine: isModel
        ? this.options.engineFactory.connect(name, address)
        : undefined,
      plainService: isModel
        ? undefined
        : this.options.plainServiceFactory.connect(name, address),
      pollingController: new AbortController(),
      reportsLeaving: false,
    };
    this.connections.set(name, connection);
    if (connection.engine !== undefined) {
      void this.pollLoadReports(
        name,
        connection.engine,
        connection.pollingController.signal,
      );
    }
  }

  /**
   * Removes an endpoint that left the configuration. Running requests still need
   * its connections, so its client stays open until the process ends.
   */
  private retire(name: string, connection: EndpointConnection): void {
    connection.pollingController.abort();
    this.connections.delete(name);
    this.retired.add(connection);
  }

  private async pollLoadReports(
    name: string,
    engine: ModelEngine,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, dispatcher, log} = this.options;
    while (!signal.aborted) {
      try {
        const load = await engine.load(signal);
        dispatcher.report(name, load);
        this.updateLeaving(name, load.leaving);
      } catch (error) {
        log.debug('load-report-missing', {peer: name, reason: String(error)});
      }
      await clock.sleep(LOAD_REPORT_INTERVAL_MILLISECONDS, signal);
    }
  }

  private updateLeaving(name: string, leaving: boolean): void {
    const connection = this.connections.get(name);
    if (connection !== undefined && connection.reportsLeaving !== leaving) {
      connection.reportsLeaving = leaving;
      this.refresh();
    }
  }
}

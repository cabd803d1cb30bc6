import 'reflect-metadata';

import {DemandGrantPolicy, GrantPolicy} from '@wisteriadeal/ledger';
import {
  Clock,
  HostList,
  HttpHostList,
  HttpLogClient,
  HttpModelEngineFactory,
  LogClient,
  ModelEngineFactory,
  RandomSource,
} from '@wisteriadeal/platform';
import {
  createMetrics,
  EventLog,
  Metrics,
  SystemClock,
  SystemRandomSource,
} from '@wisteriadeal/runtime';
import {LogLevel, type KeeperSettings} from '@wisteriadeal/schema';
import {Container, type ServiceIdentifier} from 'inversify';

import type {KeeperDependencies} from './keeper-parts.js';

const DEFAULT_TIMEOUT_MILLISECONDS = 2_000;
/**
 * The class can't be the service identifier, since its constructor is private.
 */
const EVENT_LOG: ServiceIdentifier<EventLog> = Symbol.for('EventLog');

/**
 * Binds the external dependencies of a keeper to their adapters. This is the
 * only place to change when an adapter is replaced.
 *
 * @example
 * ```ts
 * const container = keeperContainer(settings);
 * const log = container.get(LogClient);
 * ```
 */
export function keeperContainer(settings: KeeperSettings): Container {
  const container = new Container({defaultScope: 'Singleton'});
  const host = settings.process?.host ?? '';
  const timeoutMilliseconds =
    settings.platform?.timeoutMilliseconds === 0
      ? DEFAULT_TIMEOUT_MILLISECONDS
      : (settings.platform?.timeoutMilliseconds ??
        DEFAULT_TIMEOUT_MILLISECONDS);
  container.bind(Clock).toResolvedValue(() => new SystemClock());
  container.bind(RandomSource).toResolvedValue(() => new SystemRandomSource());
  container.bind(LogClient).toResolvedValue(
    () =>
      new HttpLogClient({
        url: settings.platform?.logUrl ?? '',
        timeoutMilliseconds,
      }),
  );
  container.bind(HostList).toResolvedValue(
    () =>
      new HttpHostList({
        url: settings.platform?.hostListUrl ?? '',
        timeoutMilliseconds,
        viewer: host,
      }),
  );
  container
    .bind(ModelEngineFactory)
    .toResolvedValue(() => new HttpModelEngineFactory());
  container.bind(GrantPolicy).toResolvedValue(() => new DemandGrantPolicy());
  container
    .bind(Metrics)
    .toResolvedValue(() =>
      createMetrics(settings.process?.metrics, {process: 'keeper', host}),
    );
  container.bind(EVENT_LOG).toConstantValue(
    EventLog.create(settings.process?.logLevel ?? LogLevel.INFO, {
      process: 'keeper',
      host,
    }),
  );
  return container;
}

/** Resolves all dependencies of a keeper from a container. */
export function keeperDependencies(container: Container): KeeperDependencies {
  return {
    log: container.get(LogClient),
    hostList: container.get(HostList),
    engines: container.get(ModelEngineFactory),
    clock: container.get(Clock),
    random: container.get(RandomSource),
    policy: container.get(GrantPolicy),
    metrics: container.get(Metrics),
    eventLog: container.get(EVENT_LOG),
  };
}

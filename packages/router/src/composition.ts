import 'reflect-metadata';

import {
  Clock,
  HttpModelEngineFactory,
  HttpPlainServiceFactory,
  ModelEngineFactory,
  PlainServiceFactory,
  RandomSource,
} from '@wisteriadeal/platform';
import {
  createMetrics,
  EventLog,
  Metrics,
  SystemClock,
  SystemRandomSource,
} from '@wisteriadeal/runtime';
import {LogLevel, type RouterSettings} from '@wisteriadeal/schema';
import {Container} from 'inversify';

import {ConnectKeeperConnector, KeeperConnector} from './keeper-connector.js';
import {ConnectRouterConnector, RouterConnector} from './router-connector.js';
import {Router, type RouterDependencies} from './router.js';

/** Binds the production adapter of each external interface of the router. */
export function createContainer(settings: RouterSettings): Container {
  const container = new Container();
  const host = settings.process?.host ?? '';
  container
    .bind(Metrics)
    .toConstantValue(
      createMetrics(settings.process?.metrics, {process: 'router', host}),
    );
  container.bind(Clock).toConstantValue(new SystemClock());
  container.bind(RandomSource).toConstantValue(new SystemRandomSource());
  container.bind(KeeperConnector).toConstantValue(new ConnectKeeperConnector());
  container.bind(RouterConnector).toConstantValue(new ConnectRouterConnector());
  container
    .bind(ModelEngineFactory)
    .toConstantValue(new HttpModelEngineFactory());
  container
    .bind(PlainServiceFactory)
    .toConstantValue(new HttpPlainServiceFactory());
  return container;
}

/** Starts a router with the dependencies bound in the container. */
export function startRouter(settings: RouterSettings): Promise<Router> {
  const container = createContainer(settings);
  const dependencies: RouterDependencies = {
    settings,
    keeperConnector: container.get(KeeperConnector),
    routerConnector: container.get(RouterConnector),
    engineFactory: container.get(ModelEngineFactory),
    plainServiceFactory: container.get(PlainServiceFactory),
    clock: container.get(Clock),
    random: container.get(RandomSource),
    log: EventLog.create(settings.process?.logLevel ?? LogLevel.INFO, {
      process: 'router',
      host: settings.process?.host,
    }),
    metrics: container.get(Metrics),
  };
  return Router.start(dependencies);
}

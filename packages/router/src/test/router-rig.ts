import {create} from '@bufbuild/protobuf';
import type {
  Clock,
  ModelEngineFactory,
  RandomSource,
} from '@wisteriadeal/platform';
import {
  EventLog,
  NoMetrics,
  SystemClock,
  SystemRandomSource,
} from '@wisteriadeal/runtime';
import {
  ConfigurationSchema,
  EndpointState,
  LogLevel,
  RouterSettingsSchema,
  ServiceKind,
  type Configuration,
} from '@wisteriadeal/schema';
import {createHash} from 'node:crypto';

import {ConnectRouterConnector} from '../router-connector.js';
import {Router} from '../router.js';
import {FakeEngine, FakeEngineFactory} from './fake-engine.js';
import {FakeKeeper} from './fake-keeper.js';
import {
  FakePlainService,
  FakePlainServiceFactory,
} from './fake-plain-service.js';

/** Credentials of the callers in the test configuration. */
export const CLERK_SECRET = 'clerk-secret';
export const OTHER_ORGANISATION_SECRET = 'rival-secret';

/** Returns the hash of a credential, as stored in the configuration. */
function hashed(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Returns a configuration with two organisations, a model service with one
 * engine, and a plain service.
 */
export function testConfiguration(): Configuration {
  return create(ConfigurationSchema, {
    organisations: [
      {
        name: 'hotel-school',
        callers: [{name: 'clerk', credentialSha256: hashed(CLERK_SECRET)}],
        services: ['tutor-models', 'registry-app'],
        weight: 1,
      },
      {
        name: 'bar-school',
        callers: [
          {name: 'clerk', credentialSha256: hashed(OTHER_ORGANISATION_SECRET)},
        ],
        services: ['tutor-models', 'registry-app'],
        weight: 1,
      },
    ],
    services: [
      {
        name: 'tutor-models',
        kind: ServiceKind.MODEL,
        models: ['tutor-7b'],
      },
      {
        name: 'registry-app',
        kind: ServiceKind.PLAIN,
        calls: [
          {
            name: 'certificates',
            method: 'POST',
            path: '/certificates',
            idempotent: false,
            tokens: 7,
          },
          {
            name: 'records',
            method: 'GET',
            path: '/records',
            idempotent: true,
            tokens: 2,
          },
        ],
      },
    ],
    endpoints: [
      {
        name: 'engine-1',
        service: 'tutor-models',
        dataCenter: 'kigali-1',
        address: '127.0.0.1:1',
        state: EndpointState.ACTIVE,
        slots: 64,
      },
      {
        name: 'registry-1',
        service: 'registry-app',
        dataCenter: 'kigali-1',
        address: '127.0.0.1:2',
        state: EndpointState.ACTIVE,
        slots: 64,
      },
    ],
    models: [
      {
        name: 'tutor-7b',
        maximumOutputTokens: 100,
        defaultOutputTokens: 16,
        minimumBytesPerPromptToken: 1,
      },
    ],
    limits: {
      maximumBodyBytes: 2_000,
      requestReceiveTimeoutMilliseconds: 300,
      interactiveDeadlineMilliseconds: 5_000,
      batchDeadlineMilliseconds: 5_000,
      keptAnswerMilliseconds: 60_000,
    },
  });
}

/** A router on the loopback interface, with fakes for the other processes. */
export interface RouterRig {
  readonly router: Router;
  readonly keeper: FakeKeeper;
  readonly engine: FakeEngine;
  readonly service: FakePlainService;
  readonly logLines: string[];
  /** `http://IP:port` for callers. */
  readonly url: string;
}

/** Fakes and settings of a test; the defaults simulate no failures. */
export interface RigOptions {
  readonly keeper?: FakeKeeper;
  readonly engine?: FakeEngine;
  readonly service?: FakePlainService;
  readonly engines?: Readonly<Record<string, FakeEngine>>;
  readonly host?: string;
  readonly clock?: Clock;
  readonly random?: RandomSource;
  readonly engineFactory?: ModelEngineFactory;
}

/** Divides sleep durations by 50 to shorten tests. */
export class AcceleratedClock extends SystemClock {
  /** Offset of the monotonic clock, to simulate a pause of the process. */
  pausedMilliseconds = 0;

  override monotonicMilliseconds(): number {
    return super.monotonicMilliseconds() + this.pausedMilliseconds;
  }

  override sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return super.sleep(milliseconds / 50, signal);
  }
}

/** Polls until a condition is true. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 2));
  }
}

/** Starts a router and waits until it is ready. */
export async function startRig(options: RigOptions = {}): Promise<RouterRig> {
  const keeper = options.keeper ?? new FakeKeeper(testConfiguration());
  const engine = options.engine ?? new FakeEngine();
  const service = options.service ?? new FakePlainService();
  const logLines: string[] = [];
  const router = await Router.start({
    settings: create(RouterSettingsSchema, {
      process: {
        host: options.host ?? 'host-1',
        dataCenter: 'kigali-1',
        address: '127.0.0.1',
      },
      keeperAddress: '127.0.0.1:9',
    }),
    keeperConnector: keeper,
    routerConnector: new ConnectRouterConnector(),
    engineFactory:
      options.engineFactory ??
      new FakeEngineFactory({'engine-1': engine, ...options.engines}),
    plainServiceFactory: new FakePlainServiceFactory(service),
    clock: options.clock ?? new SystemClock(),
    random: options.random ?? new SystemRandomSource(),
    log: EventLog.create(LogLevel.DEBUG, {process: 'router'}, line => {
      logLines.push(line);
    }),
    metrics: new NoMetrics(),
  });
  const url = `http://${router.callerAddress}`;
  while ((await fetch(`${url}/ready`)).status !== 200) {
    await new Promise(resolve => setTimeout(resolve, 2));
  }
  return {router, keeper, engine, service, logLines, url};
}

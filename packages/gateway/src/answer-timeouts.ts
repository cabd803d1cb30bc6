import type {
  AnswerEstimate,
  PromptSize,
  FirstEventTimeoutBounds,
} from '@wisteriadeal/decisions';
import type {Clock, HostLink} from '@wisteriadeal/platform';

import {ownPromptTokens} from './balancing/index.js';
import {RouteKind} from './configuration.js';
import type {KnownEndpoint} from './known-endpoint.js';
import type {EndpointExchange} from './endpoint-exchange.js';
import type {EndpointPath} from './endpoint-path.js';
import type {RequestContext} from './request-context.js';
import {
  InactivityMonitor,
  type InactivityLimits,
} from './inactivity-monitor.js';
import type {ServicePaths} from './service-paths.js';

/** Inactivity timeouts for one kind of answer. */
interface TimeoutOptions {
  /**
   * The endpoint is suspected, and gets no new requests, after this multiple of
   * the expected time to the first byte.
   */
  readonly suspectFactor: number;
  /** Lower bound of the time until suspicion, milliseconds. */
  readonly minimumSuspectMilliseconds: number;
  /**
   * A request that may be repeated fails over after this multiple of the
   * expected time to the first byte ...
   */
  readonly failoverFactor: number;
  /** ... or this multiple of the route's latency goal, whichever is longer. */
  readonly failoverGoals: number;
  /** Lower bound of the time until failover, milliseconds. */
  readonly minimumFailoverMilliseconds: number;
}

/**
 * Engines process prompts in turn, so a first event is late when long prompts
 * are ahead of it.
 */
const STREAM_TIMEOUTS: TimeoutOptions = {
  suspectFactor: 3,
  minimumSuspectMilliseconds: 400,
  failoverFactor: 3,
  failoverGoals: 1.5,
  minimumFailoverMilliseconds: 900,
};
/**
 * The latencies of buffered answers vary little, except for about one in a
 * hundred.
 */
const BUFFERED_ANSWER_TIMEOUTS: TimeoutOptions = {
  suspectFactor: 6,
  minimumSuspectMilliseconds: 150,
  failoverFactor: 8,
  failoverGoals: 2,
  minimumFailoverMilliseconds: 200,
};
/**
 * A pause between events times out after this multiple of the route's goal for
 * pauses.
 */
const PAUSE_GOAL_FACTOR = 3;

/** What is told of an exchange that is monitored. */
export interface SilenceListener {
  /**
   * Called on a timeout; returns whether the request goes on, or is about to go on, at
   * another endpoint.
   */
  failOver(): boolean;
  /** Called when the endpoint has sent a further part of its answer. */
  wentOn(): void;
}

/**
 * Sets the inactivity timeouts of a request's attempts from observed latencies,
 * and records how long each answer took to begin.
 */
export class AnswerTimeouts {
  private readonly options: TimeoutOptions;
  private readonly estimate: AnswerEstimate;

  constructor(
    private readonly context: RequestContext,
    private readonly paths: ServicePaths,
    private readonly clock: Clock,
    private readonly link: HostLink,
  ) {
    const isStream = context.route.kind === RouteKind.Streaming;
    this.options = isStream ? STREAM_TIMEOUTS : BUFFERED_ANSWER_TIMEOUTS;
    this.estimate = isStream
      ? context.firstEventLatency
      : context.bufferedAnswerLatency;
  }

  /**
   * Starts inactivity timeouts for an exchange. When a data centre is cut
   * off and packets are dropped, or an engine stops responding, connections do
   * not end, and without a timeout requests would go there for as long as
   * callers wait. A request that may be repeated fails over; one that may not
   * stays, and its timeout still marks the endpoint as suspect.
   *
   * @param canFailOver Whether the request may fail over to another endpoint
   *     after this one.
   */
  startMonitor(
    endpoint: KnownEndpoint,
    path: EndpointPath,
    exchange: EndpointExchange,
    canFailOver: boolean,
    listener: SilenceListener,
  ): InactivityMonitor {
    const suspect = () => {
      if (exchange.isConnectDelayedByLink) {
        return;
      }
      const now = this.clock.monotonicMilliseconds();
      const {dataCenter, id, service} = endpoint.entry;
      path.breakerOf(endpoint).recordSilence(now);
      path.dataCenters.recordSilence(dataCenter, id, now);
      this.paths.suspect(service);
    };
    const monitor = new InactivityMonitor(
      this.limits(canFailOver),
      this.clock,
      {
        onSuspect: suspect,
        onTimeout: () => {
          if (!listener.failOver()) {
            suspect();
          }
        },
        onData: () => {
          this.paths.dataReceived(path, endpoint.entry.service);
          if (monitor.timeToFirstByte !== undefined) {
            listener.wentOn();
          }
        },
      },
    );
    return monitor;
  }

  /**
   * Records how long the answer took to begin, or that it did not begin within
   * the elapsed time.
   */
  recordFirstByteTime(monitor: InactivityMonitor): void {
    if (monitor.timeToFirstByte === undefined) {
      this.estimate.recordTimeout(
        this.promptSize(),
        monitor.elapsedMilliseconds,
      );
    } else {
      this.estimate.recordStart(this.promptSize(), monitor.timeToFirstByte);
    }
  }

  private limits(canFailOver: boolean): InactivityLimits {
    const {route} = this.context;
    const pauseMilliseconds = Math.max(
      this.options.minimumFailoverMilliseconds,
      PAUSE_GOAL_FACTOR * route.pauseGoalMilliseconds,
    );
    return {
      suspectMilliseconds: this.firstByteTimeout(this.suspectBounds()),
      failoverMilliseconds: canFailOver
        ? this.firstByteTimeout(this.failoverBounds())
        : undefined,
      betweenEventsMilliseconds:
        pauseMilliseconds + this.link.delayMilliseconds,
      canFailOver,
    };
  }

  private suspectBounds(): FirstEventTimeoutBounds {
    const {suspectFactor, minimumSuspectMilliseconds} = this.options;
    return {
      expectedFactor: suspectFactor,
      minimumMilliseconds: minimumSuspectMilliseconds,
    };
  }

  private failoverBounds(): FirstEventTimeoutBounds {
    const {failoverFactor, failoverGoals, minimumFailoverMilliseconds} =
      this.options;
    return {
      expectedFactor: failoverFactor,
      minimumMilliseconds: Math.max(
        minimumFailoverMilliseconds,
        failoverGoals * this.context.route.goalMilliseconds,
      ),
    };
  }

  private firstByteTimeout(bounds: FirstEventTimeoutBounds): number {
    const limit = this.estimate.timeoutMilliseconds(this.promptSize(), bounds);
    return limit + this.link.delayMilliseconds;
  }

  private promptSize(): PromptSize {
    return {ownTokens: ownPromptTokens(this.context.caller.headers)};
  }
}

import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {ConnectionCounts} from './caller-connections.js';
import type {CallerDoor} from './caller-door.js';
import {CallerExchange} from './caller-exchange.js';
import type {CallerLimits} from './configuration.js';
import type {Dialect} from './dialect.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {ListenAddress} from './listening.js';
import {LoadReport} from './load-report.js';
import {LoopWatch} from './loop-watch.js';
import type {RequestHandler} from './request-handler.js';

/** Serves the callers that come through the door. */
export class CallerServer {
  private isStopping = false;
  private open = 0;
  private onIdle: (() => void) | undefined;
  private readonly report: LoadReport;
  private readonly watch: LoopWatch;

  constructor(
    private readonly door: CallerDoor,
    private readonly dialect: Dialect,
    private readonly handler: RequestHandler,
    private readonly metrics: GatewayMetrics,
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {
    this.report = new LoadReport(events);
    this.watch = new LoopWatch(
      () => clock.monotonicMilliseconds(),
      () => performance.nodeTiming.idleTime,
      milliseconds => {
        this.metrics.turn(milliseconds);
        this.report.turned(milliseconds);
      },
    );
  }

  /** Requests that have not ended. */
  get openRequests(): number {
    return this.open;
  }

  /** What callers' connections are in the middle of. */
  get connectionCounts(): ConnectionCounts {
    return this.door.connections.counts;
  }

  /** @throws The system's error where the address can't be taken. */
  async listen(at: ListenAddress): Promise<void> {
    await this.door.listen(at);
    this.door.server.on('connection', () => {
      this.watch.connected();
      this.report.connected();
      this.metrics.callerConnected();
    });
    this.door.openTo((request, response, arrivedAt) => {
      this.serve(request, response, arrivedAt);
    });
    this.events.info('listening for callers', {...at});
  }

  /** Port that was taken. */
  get port(): number {
    return this.door.port;
  }

  /** Takes the limits of a configuration; they hold for open connections too. */
  limit(limits: CallerLimits): void {
    this.door.server.headersTimeout = limits.headerMilliseconds;
    this.door.server.keepAliveTimeout = limits.idleMilliseconds;
  }

  /** Answers say from now on that the connection ends. */
  beginStop(): void {
    this.isStopping = true;
  }

  /** Resolves when no request is open; new ones are still taken. */
  async idle(): Promise<void> {
    if (this.open > 0) {
      await new Promise<void>(resolve => {
        this.onIdle = resolve;
      });
    }
  }

  /**
   * Takes no new connections, and ends each as soon as nothing is on it.
   *
   * @returns Resolves when there is none left.
   */
  drain(): Promise<void> {
    return this.door.drain();
  }

  /** Ends all connections at once. */
  close(): void {
    this.door.close();
  }

  private serve(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAt: number,
  ): void {
    const unseenMilliseconds = this.watch.requested();
    this.noteSeen(unseenMilliseconds);
    const caller = new CallerExchange(
      this.dialect,
      request,
      response,
      arrivedAt,
      unseenMilliseconds,
    );
    if (this.isStopping) {
      caller.closeAfterwards();
    }
    this.open++;
    response.once('close', () => {
      this.ended();
    });
    void this.handler.handle(caller, this.report);
  }

  private noteSeen(unseenMilliseconds: number): void {
    this.metrics.requestSeen(unseenMilliseconds);
    this.report.requested(unseenMilliseconds);
    const now = this.clock.monotonicMilliseconds();
    this.report.tell(now, this.open, this.watch.reading);
  }

  private ended(): void {
    this.open--;
    if (this.open === 0) {
      this.onIdle?.();
    }
  }
}

import {BeginWithinLimit} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {ArrivalQueue} from './arrival-queue.js';
import type {ConnectionCounts} from './caller-connections.js';
import type {CallerDoor} from './caller-door.js';
import {CallerExchange} from './caller-exchange.js';
import type {CallerLimits} from './configuration.js';
import type {Dialect} from './dialect.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {HostRotation} from './host-rotation.js';
import type {ListenAddress} from './listening.js';
import {LoadReport} from './load-report.js';
import {LoopWatch} from './loop-watch.js';
import type {RequestHandler} from './request-handler.js';
import type {StartGate} from './start-gate.js';

/** Serves the callers that come through the door. */
export class CallerServer {
  private isStopping = false;
  private open = 0;
  private accepted = 0;
  private onIdle: (() => void) | undefined;
  private readonly report: LoadReport;
  private readonly watch: LoopWatch;
  private readonly arrivals: ArrivalQueue;
  /** Connections that no request came on yet. */
  private readonly unread = new WeakSet<Socket>();

  constructor(
    private readonly door: CallerDoor,
    private readonly dialect: Dialect,
    private readonly handler: RequestHandler,
    private readonly gate: StartGate,
    private readonly rotation: HostRotation,
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
        this.arrivals.turned();
      },
    );
    this.arrivals = new ArrivalQueue(
      new BeginWithinLimit(),
      this.watch,
      () => clock.monotonicMilliseconds(),
      {
        begin: caller => {
          void this.handler.handle(caller, this.report);
        },
        refuse: ({request: {caller}, retryAfterMilliseconds}) => {
          this.handler.refuseUnbegun(
            caller,
            this.report,
            retryAfterMilliseconds,
          );
        },
        left: caller => {
          this.handler.leftUnbegun(caller, this.report);
        },
      },
    );
  }

  /** Requests that have not ended. */
  get openRequests(): number {
    return this.open;
  }

  /** Connections that callers have opened since the start. */
  get acceptedConnections(): number {
    return this.accepted;
  }

  /** What callers' connections are in the middle of. */
  get connectionCounts(): ConnectionCounts {
    return this.door.connections.counts;
  }

  /** @throws The system's error where the address can't be taken. */
  async listen(at: ListenAddress): Promise<void> {
    await this.door.listen(at);
    this.door.server.on('connection', socket => {
      this.unread.add(socket);
      this.accepted++;
      this.watch.connected();
      this.arrivals.connected();
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
    this.door.connections.announceEnd();
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
    const isFirst = this.unread.delete(request.socket);
    const caller = new CallerExchange(
      this.dialect,
      request,
      response,
      arrivedAt,
      unseenMilliseconds,
      () =>
        this.rotation.endsConnections &&
        this.door.connections.mayEndWith(request, response),
      isFirst,
    );
    if (this.isStopping) {
      caller.closeAfterwards();
    }
    this.open++;
    caller.whenClosed(() => {
      this.arrivals.ended(caller);
      this.ended();
    });
    if (this.gate.isOpen) {
      this.arrive(caller, isFirst);
    } else {
      void this.gate.passed().then(() => {
        this.arrive(caller, isFirst);
      });
    }
  }

  private arrive(caller: CallerExchange, isFirst: boolean): void {
    const expected = this.handler.expectationOf(caller);
    if (expected === undefined) {
      void this.handler.handle(caller, this.report);
      return;
    }
    const {cameAt} = caller;
    this.arrivals.add({caller, cameAt, ...expected}, isFirst);
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

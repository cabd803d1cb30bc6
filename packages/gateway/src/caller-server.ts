import {BeginWithinLimit} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import {ArrivalQueue} from './arrival-queue.js';
import type {ConnectionCounts, ConnectionRoom} from './caller-connections.js';
import type {CallerListener} from './caller-listener.js';
import {CallerExchange} from './caller-exchange.js';
import type {CallerLimits} from './configuration.js';
import type {Dialect} from './dialect.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {HostRotation} from './host-rotation.js';
import type {InputAccount} from './input-memory/index.js';
import type {ListenAddress} from './listening.js';
import {LoadReport} from './load-report.js';
import {EventLoopMonitor} from './event-loop-monitor.js';
import type {OpenRequests} from './open-requests/index.js';
import type {RequestHandler} from './request-handler.js';
import type {StartGate} from './start-gate.js';

/** Serves callers' requests and controls their connections. */
export class CallerServer {
  private isStopping = false;
  private acceptedCount = 0;
  private readonly report: LoadReport;
  private readonly loopMonitor: EventLoopMonitor;
  private readonly arrivals: ArrivalQueue;

  /** Connections on which no request has been read yet. */
  private readonly socketsWithoutRequest = new WeakSet<Socket>();

  constructor(
    private readonly listener: CallerListener,
    private readonly dialect: Dialect,
    private readonly handler: RequestHandler,
    private readonly requests: OpenRequests,
    private readonly gate: StartGate,
    private readonly rotation: HostRotation,
    private readonly metrics: GatewayMetrics,
    private readonly clock: Clock,
    private readonly events: EventLog,
    private readonly account: InputAccount,
  ) {
    this.report = new LoadReport(events);
    this.loopMonitor = new EventLoopMonitor(
      () => clock.monotonicMilliseconds(),
      () => performance.nodeTiming.idleTime,
      milliseconds => {
        this.metrics.observeLoopTurn(milliseconds);
        this.report.turnEnded(milliseconds);
        this.arrivals.turnEnded();
      },
    );
    this.arrivals = new ArrivalQueue(
      new BeginWithinLimit(),
      this.loopMonitor,
      () => clock.monotonicMilliseconds(),
      {
        begin: caller => {
          void this.handler.handle(caller, this.report);
        },
        refuse: ({request: {caller}, retryAfterMilliseconds}) => {
          this.handler.refuseBeforeStart(
            caller,
            this.report,
            retryAfterMilliseconds,
          );
        },
        callerLeft: caller => {
          this.handler.callerLeftBeforeStart(caller, this.report);
        },
      },
    );
  }

  /** Number of requests that have not ended. */
  get openRequests(): number {
    return this.requests.count;
  }

  /** Number of open requests at each stage that has any. */
  get openStages(): string {
    return this.requests.stages;
  }

  /**
   * Logs each open request.
   *
   * @param step The step of a graceful stop at which they are open.
   */
  logOpenRequests(step: string): void {
    this.requests.logOpen(step);
  }

  /** Number of connections accepted since the start. */
  get acceptedConnections(): number {
    return this.acceptedCount;
  }

  /** Counts of callers' connections and of the requests and answers on them. */
  get connectionCounts(): ConnectionCounts {
    return this.listener.connections.counts;
  }

  /** Number of callers' connections on which something is in progress. */
  get connectionsInUse(): number {
    return this.listener.connections.inUse;
  }

  /** Duration of the last measured event loop turn, milliseconds. */
  get loopTurnMilliseconds(): number {
    return this.loopMonitor.reading.turnMilliseconds;
  }

  /** @throws The system's error if the address can't be bound. */
  async listen(address: ListenAddress): Promise<void> {
    await this.listener.listen(address);
    this.listener.server.on('connection', socket => {
      if (socket.destroyed) {
        return;
      }
      this.socketsWithoutRequest.add(socket);
      this.acceptedCount++;
      this.loopMonitor.connectionAccepted();
      this.arrivals.connectionAccepted();
      this.report.connectionAccepted();
      this.metrics.callerConnected();
    });
    this.listener.serveWith((request, response, arrivedAt) => {
      this.serve(request, response, arrivedAt);
    });
    this.events.info('listening for callers', {...address});
  }

  /** The bound port. */
  get port(): number {
    return this.listener.port;
  }

  /** Limits the number of callers' connections. */
  limitConnections(room: ConnectionRoom): void {
    this.listener.connections.limitTo(room, measure => {
      this.metrics.callerWithoutRoom(measure);
    });
  }

  /** Applies the limits of a configuration, also to open connections. */
  applyLimits(limits: CallerLimits): void {
    this.listener.server.headersTimeout = limits.headerMilliseconds;
    this.listener.server.keepAliveTimeout = limits.idleMilliseconds;
  }

  /** Makes answers announce from now on that their connection closes. */
  beginStop(): void {
    this.isStopping = true;
    this.listener.connections.announceClose();
  }

  /** Resolves when no request is open; new requests are still accepted. */
  idle(): Promise<void> {
    return this.requests.idle();
  }

  /**
   * Stops accepting connections, and closes each one as soon as nothing is in
   * progress on it.
   *
   * @returns Resolves when all connections are closed.
   */
  drain(): Promise<void> {
    return this.listener.drain();
  }

  /** Closes all connections immediately. */
  close(): void {
    this.listener.close();
  }

  private serve(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAt: number,
  ): void {
    const unseenMilliseconds = this.loopMonitor.requestRead();
    this.recordArrival(unseenMilliseconds);
    const isFirst = this.socketsWithoutRequest.delete(request.socket);
    const caller: CallerExchange = new CallerExchange(
      this.dialect,
      request,
      response,
      arrivedAt,
      unseenMilliseconds,
      () =>
        this.drawsClose(caller) &&
        this.listener.connections.canCloseAfter(request, response),
      isFirst,
      this.account,
    );
    if (this.isStopping) {
      caller.disableKeepAlive();
    }
    this.requests.add(caller);
    caller.setCloseListener(() => {
      this.arrivals.requestEnded(caller);
      this.requests.remove(caller);
    });
    if (this.gate.isOpen) {
      this.enqueue(caller, isFirst);
    } else {
      void this.gate.whenOpen().then(() => {
        this.enqueue(caller, isFirst);
      });
    }
  }

  private drawsClose(caller: CallerExchange): boolean {
    const closes = this.rotation.drawsClose(caller.headers.key ?? '');
    if (closes) {
      this.metrics.callerClosed();
    }
    return closes;
  }

  private enqueue(caller: CallerExchange, isFirst: boolean): void {
    this.rotation.recordRequest(caller.headers.key ?? '');
    const deadlines = this.handler.answerDeadlines(caller);
    if (deadlines === undefined) {
      void this.handler.handle(caller, this.report);
      return;
    }
    const {estimatedArrivalAt} = caller;
    this.arrivals.add(
      {caller, receivedAt: estimatedArrivalAt, ...deadlines},
      isFirst,
    );
  }

  private recordArrival(unseenMilliseconds: number): void {
    this.metrics.observeUnreadWait(unseenMilliseconds);
    this.report.requestRead(unseenMilliseconds);
    const now = this.clock.monotonicMilliseconds();
    this.report.logIfDue(now, this.requests.count, this.loopMonitor.reading);
  }
}

import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {createServer, type Server} from 'node:http';

import {CallerExchange} from './caller-exchange.js';
import type {CallerLimits} from './configuration.js';
import type {Dialect} from './dialect.js';
import type {RequestHandler} from './request-handler.js';

/** An address to listen on. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** Longest headers that are parsed at all; the configuration's limit is lower. */
const LONGEST_HEADER_BYTES = 65_536;
/** New connections that wait to be taken; a burst of callers comes at once. */
const BACKLOG = 1_024;

/** Listens for callers. */
export class CallerServer {
  private readonly server: Server;
  private isStopping = false;
  private open = 0;
  private onIdle: (() => void) | undefined;

  constructor(
    dialect: Dialect,
    private readonly handler: RequestHandler,
    clock: Clock,
    private readonly events: EventLog,
  ) {
    this.server = createServer(
      {maxHeaderSize: LONGEST_HEADER_BYTES, noDelay: true},
      (request, response) => {
        const caller = new CallerExchange(
          dialect,
          request,
          response,
          clock.monotonicMilliseconds(),
        );
        if (this.isStopping) {
          caller.closeAfterwards();
        }
        this.open++;
        response.once('close', () => {
          this.ended();
        });
        void this.handler.handle(caller);
      },
    );
    // A request's own deadline bounds it; a long upload is no error.
    this.server.requestTimeout = 0;
  }

  /** Requests that have not ended. */
  get openRequests(): number {
    return this.open;
  }

  /** @throws The system's error where the address can't be taken. */
  listen({address, port}: ListenAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host: address, port, backlog: BACKLOG}, () => {
        this.events.info('listening for callers', {address, port});
        resolve();
      });
    });
  }

  /** Port that was taken. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Takes the limits of a configuration; they hold for open connections too. */
  limit(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerMilliseconds;
    this.server.keepAliveTimeout = limits.idleMilliseconds;
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

  /** Ends all connections at once. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private ended(): void {
    this.open--;
    if (this.open === 0) {
      this.onIdle?.();
    }
  }
}

import {FreeLink, type HostLink} from '@wisteriadeal/platform';
import {Agent, type AgentOptions, type ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
 * A kept connection that was idle for longer is not used for a request that may run
 * once only: endpoints close idle ones, some without notice, and a request that
 * crosses the close may or may not have run.
 */
export const LONGEST_CERTAIN_IDLE_MILLISECONDS = 4_000;
/** Of an endpoint's own time-out: a request must get there before its end. */
const USED_PART_OF_TIMEOUT = 0.8;
/** Nothing is kept for longer, whatever an endpoint says. */
const LONGEST_KEPT_MILLISECONDS = 15_000;
const STATED_TIMEOUT = /(?:^|[ ,])timeout=(\d+)/;

/**
 * A new connection that isn't there by then goes elsewhere: nothing was sent, so
 * that is safe. Data centres are under 2 ms apart and a handshake takes 1 ms.
 */
const CONNECT_MILLISECONDS = 120;
/**
 * A connection to an endpoint is waited for no longer, however full the host's link is:
 * by then the endpoint may have been listed as leaving, and the request has less time
 * left than it was given with it.
 */
const LONGEST_CONNECT_MILLISECONDS = 400;
/** The mean time of connects follows about so many of them. */
const CONNECT_SAMPLES = 16;

/** Where an endpoint is reached. */
export interface EndpointAddress {
  readonly address: string;
  readonly port: number;
}

/** What makes a kept connection unfit, taken off when it is used again. */
interface IdleGuard {
  readonly idleSince: number;
  readonly onData: () => void;
  readonly onClose: () => void;
  readonly timer: NodeJS.Timeout;
}

/**
 * Kept connections to endpoints. One that speaks without being asked is closed:
 * its bytes belong to no request and would be taken for the next one's answer.
 */
export class EndpointConnections extends Agent {
  private readonly guards = new WeakMap<Socket, IdleGuard>();
  private connectMean = 0;
  private readonly idleLimits = new WeakMap<Socket, number>();

  /** @param link Of this host: connects take longer while it is full. */
  constructor(
    private readonly link: HostLink = new FreeLink(),
    options: AgentOptions = {},
  ) {
    super({keepAlive: true, scheduling: 'lifo', noDelay: true, ...options});
  }

  /**
   * Closes kept connections to an endpoint that may have been cut off: the next
   * request opens a new one. Where that fails, nothing was sent, and any request may go
   * elsewhere; on a kept one it would hang, and might have run.
   *
   * @param milliseconds Those that were idle for less are left.
   */
  dropIdle({address, port}: EndpointAddress, milliseconds = 0): void {
    const idle = this.freeSockets[this.getName({host: address, port})] ?? [];
    const before = performance.now() - milliseconds;
    for (const socket of [...idle]) {
      if ((this.guards.get(socket)?.idleSince ?? -Infinity) <= before) {
        socket.destroy();
      }
    }
  }

  /**
   * Takes note of how long an endpoint keeps an idle connection.
   *
   * @param keepAlive Its answer's header, empty where there is none.
   */
  answered(socket: Socket, keepAlive: string): void {
    const seconds = STATED_TIMEOUT.exec(keepAlive)?.[1];
    if (seconds !== undefined) {
      const limit = Number(seconds) * 1_000 * USED_PART_OF_TIMEOUT;
      this.idleLimits.set(socket, Math.min(limit, LONGEST_KEPT_MILLISECONDS));
    }
  }

  /** Mean time of the newest connects that came, milliseconds. */
  get connectMilliseconds(): number {
    return this.connectMean;
  }

  /** A connection came after so long. */
  connected(milliseconds: number): void {
    this.link.connected(milliseconds);
    this.link.arrived(milliseconds);
    this.connectMean += (milliseconds - this.connectMean) / CONNECT_SAMPLES;
  }

  /** How long a new connection is waited for from now on, milliseconds. */
  get connectLimitMilliseconds(): number {
    return Math.min(
      LONGEST_CONNECT_MILLISECONDS,
      CONNECT_MILLISECONDS + this.link.delayMilliseconds,
    );
  }

  /** Whether connections are late for this host's own link. */
  get isLinkLate(): boolean {
    return this.link.isLate;
  }

  /** A connection had not come after so long, and was given up. */
  connectGivenUp(milliseconds: number): void {
    this.link.connected(milliseconds);
    this.link.expired(milliseconds);
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (!keepsAlive(this, socket)) {
      return false;
    }
    const onData = () => {
      socket.destroy();
    };
    const timer = setTimeout(
      onData,
      this.idleLimits.get(socket) ?? LONGEST_CERTAIN_IDLE_MILLISECONDS,
    );
    timer.unref();
    const onClose = () => {
      clearTimeout(timer);
    };
    socket.on('data', onData);
    socket.once('close', onClose);
    const idleSince = performance.now();
    this.guards.set(socket, {idleSince, onData, onClose, timer});
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const guard = this.guards.get(socket);
    if (guard !== undefined) {
      clearTimeout(guard.timer);
      socket.off('data', guard.onData);
      socket.off('close', guard.onClose);
      this.guards.delete(socket);
    }
    super.reuseSocket(socket, request);
  }
}

/**
 * What the base class decides, from the endpoint's own `Keep-Alive` among others.
 * Its result is missing from the published types.
 */
function keepsAlive(agent: Agent, socket: Socket): boolean {
  const decide: unknown = Reflect.get(Agent.prototype, 'keepSocketAlive');
  return (
    typeof decide === 'function' &&
    Reflect.apply(decide, agent, [socket]) === true
  );
}

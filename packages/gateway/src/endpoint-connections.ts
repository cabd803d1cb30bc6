import {Agent, type AgentOptions, type ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
 * A kept connection that was idle for longer is not used again: endpoints close
 * idle ones, and a request that crosses the close may or may not have run. Their
 * time-outs are told in whole seconds, some as short as two.
 */
const LONGEST_IDLE_MILLISECONDS = 4_000;

/** Where an endpoint is reached. */
export interface EndpointAddress {
  readonly address: string;
  readonly port: number;
}

/** What makes a kept connection unfit, taken off when it is used again. */
interface IdleGuard {
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

  constructor(options: AgentOptions = {}) {
    super({keepAlive: true, scheduling: 'lifo', noDelay: true, ...options});
  }

  /**
   * Closes kept connections to an endpoint that may have been cut off: the next
   * request opens a new one. Where that fails, nothing was sent, and any request may go
   * elsewhere; on a kept one it would hang, and might have run.
   */
  dropIdle({address, port}: EndpointAddress): void {
    const idle = this.freeSockets[this.getName({host: address, port})] ?? [];
    for (const socket of [...idle]) {
      socket.destroy();
    }
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (!keepsAlive(this, socket)) {
      return false;
    }
    const onData = () => {
      socket.destroy();
    };
    const timer = setTimeout(onData, LONGEST_IDLE_MILLISECONDS);
    timer.unref();
    const onClose = () => {
      clearTimeout(timer);
    };
    socket.on('data', onData);
    socket.once('close', onClose);
    this.guards.set(socket, {onData, onClose, timer});
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

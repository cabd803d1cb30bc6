import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {Socket} from 'node:net';

import {HostTraffic} from './host-traffic.js';

/** Diagnostics channels on which Node.js publishes each new socket. */
const OPENED_CHANNEL = 'net.client.socket';
const ACCEPTED_CHANNEL = 'net.server.socket';

/**
 * Byte counts of the connections that were accepted, or of those that were
 * opened.
 */
class ConnectionTraffic {
  private readonly open = new Set<Socket>();
  private closedBytesRead = 0;
  private closedBytesWritten = 0;

  /** Handles a message of one of the channels. */
  readonly add = (message: unknown): void => {
    const socket = (message as {readonly socket?: unknown}).socket;
    if (!(socket instanceof Socket)) {
      return;
    }
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedBytesRead += socket.bytesRead;
      this.closedBytesWritten += socket.bytesWritten;
    });
  };

  get bytesRead(): number {
    return this.sum(this.closedBytesRead, ({bytesRead}) => bytesRead);
  }

  get bytesWritten(): number {
    return this.sum(this.closedBytesWritten, ({bytesWritten}) => bytesWritten);
  }

  private sum(closed: number, bytes: (socket: Socket) => number): number {
    let sum = closed;
    for (const socket of this.open) {
      sum += bytes(socket);
    }
    return sum;
  }
}

/**
 * Bytes on all TCP connections of this process since its start. The process has
 * its host to itself.
 */
export class ProcessTraffic extends HostTraffic {
  private readonly accepted = new ConnectionTraffic();
  private readonly opened = new ConnectionTraffic();

  /** Starts counting new connections. */
  constructor() {
    super();
    subscribe(ACCEPTED_CHANNEL, this.accepted.add);
    subscribe(OPENED_CHANNEL, this.opened.add);
  }

  override get received(): {
    readonly fromCallers: number;
    readonly inAll: number;
  } {
    const fromCallers = this.accepted.bytesRead;
    return {fromCallers, inAll: fromCallers + this.opened.bytesRead};
  }

  override get sent(): {readonly toCallers: number; readonly inAll: number} {
    const toCallers = this.accepted.bytesWritten;
    return {toCallers, inAll: toCallers + this.opened.bytesWritten};
  }

  override close(): void {
    unsubscribe(ACCEPTED_CHANNEL, this.accepted.add);
    unsubscribe(OPENED_CHANNEL, this.opened.add);
  }
}

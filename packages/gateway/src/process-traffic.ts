import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {Socket} from 'node:net';

import {HostTraffic} from './host-traffic.js';

/** Node.js names each new connection there. */
const OPENED_CHANNEL = 'net.client.socket';
const ACCEPTED_CHANNEL = 'net.server.socket';

/** Bytes of the connections on one side. */
class SideTraffic {
  private readonly open = new Set<Socket>();
  private readOfClosed = 0;
  private writtenOfClosed = 0;

  /** Takes a message of one of the channels. */
  readonly add = (message: unknown): void => {
    const socket = (message as {readonly socket?: unknown}).socket;
    if (!(socket instanceof Socket)) {
      return;
    }
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.readOfClosed += socket.bytesRead;
      this.writtenOfClosed += socket.bytesWritten;
    });
  };

  get read(): number {
    return this.sum(this.readOfClosed, ({bytesRead}) => bytesRead);
  }

  get written(): number {
    return this.sum(this.writtenOfClosed, ({bytesWritten}) => bytesWritten);
  }

  private sum(closed: number, bytes: (socket: Socket) => number): number {
    let sum = closed;
    for (const socket of this.open) {
      sum += bytes(socket);
    }
    return sum;
  }
}

/** Bytes on all TCP connections of this process since it began: it is alone on its host. */
export class ProcessTraffic extends HostTraffic {
  private readonly accepted = new SideTraffic();
  private readonly opened = new SideTraffic();

  /** Counts connections that come from now on. */
  constructor() {
    super();
    subscribe(ACCEPTED_CHANNEL, this.accepted.add);
    subscribe(OPENED_CHANNEL, this.opened.add);
  }

  override get received(): {
    readonly fromCallers: number;
    readonly inAll: number;
  } {
    const fromCallers = this.accepted.read;
    return {fromCallers, inAll: fromCallers + this.opened.read};
  }

  override get sent(): {readonly toCallers: number; readonly inAll: number} {
    const toCallers = this.accepted.written;
    return {toCallers, inAll: toCallers + this.opened.written};
  }

  override close(): void {
    unsubscribe(ACCEPTED_CHANNEL, this.accepted.add);
    unsubscribe(OPENED_CHANNEL, this.opened.add);
  }
}

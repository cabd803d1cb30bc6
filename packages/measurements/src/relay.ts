import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** How a relay treats its connections. */
export enum RelayState {
  /** Forwards bytes. */
  Open = 'open',
  /** Forwards nothing and keeps connections open, as a network partition does. */
  Silent = 'silent',
  /** Resets existing and new connections. */
  Refusing = 'refusing',
}

interface ConnectionPair {
  readonly client: Socket;
  readonly upstream: Socket;
}

/**
 * A TCP proxy to one target, which allows network partitions between data centres to
 * be injected without privileges.
 */
export class Relay {
  private state = RelayState.Open;
  private readonly pairs = new Set<ConnectionPair>();
  /** Connections accepted in the silent state; they never receive any data. */
  private readonly unansweredSockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly target: string,
    /** `IP:port` at which clients reach the target through this relay. */
    readonly address: string,
  ) {
    server.on('connection', client => {
      this.accept(client);
    });
  }

  /**
   * Starts a relay on a free loopback port.
   *
   * @param target `IP:port` to which connections are forwarded.
   * @throws The system's error if it can't listen.
   */
  static async listen(target: string): Promise<Relay> {
    const server = createServer({allowHalfOpen: true});
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    return new Relay(server, target, `127.0.0.1:${port}`);
  }

  /**
   * Sets the state. Connections that were silent are reset when the silent state ends:
   * their bytes are lost, as in a partition that lasts longer than TCP's retransmission
   * timeout.
   */
  setState(state: RelayState): void {
    if (state === this.state) {
      return;
    }
    this.state = state;
    for (const {client, upstream} of this.pairs) {
      if (state === RelayState.Silent) {
        client.pause();
        upstream.pause();
      } else {
        client.resetAndDestroy();
        upstream.resetAndDestroy();
      }
    }
    if (state !== RelayState.Silent) {
      this.resetUnanswered();
    }
  }

  /** Stops listening and resets every connection. */
  async close(): Promise<void> {
    this.setState(RelayState.Refusing);
    await new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  private resetUnanswered(): void {
    for (const socket of this.unansweredSockets) {
      socket.resetAndDestroy();
    }
    this.unansweredSockets.clear();
  }

  private accept(client: Socket): void {
    client.on('error', () => {
      client.destroy();
    });
    switch (this.state) {
      case RelayState.Open:
        this.forward(client);
        break;
      case RelayState.Silent:
        client.pause();
        this.unansweredSockets.add(client);
        client.once('close', () => this.unansweredSockets.delete(client));
        break;
      case RelayState.Refusing:
        client.resetAndDestroy();
        break;
    }
  }

  private forward(client: Socket): void {
    const [host, port] = this.target.split(':');
    const upstream = connect({
      host: host ?? '',
      port: Number(port),
      allowHalfOpen: true,
      noDelay: true,
    });
    client.setNoDelay(true);
    const pair = {client, upstream};
    this.pairs.add(pair);
    client.pipe(upstream);
    upstream.pipe(client);
    const end = () => {
      client.destroy();
      upstream.destroy();
      this.pairs.delete(pair);
    };
    upstream.on('error', end);
    client.once('close', end);
    upstream.once('close', end);
  }
}

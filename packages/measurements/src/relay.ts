import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** What a relay does with its connections. */
export enum RelayState {
  /** Bytes pass. */
  Open = 'open',
  /** Nothing passes, and nobody is told: as in a network partition. */
  Silent = 'silent',
  /** Connections are reset, and new ones too. */
  Refusing = 'refusing',
}

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

/**
 * One TCP port that passes bytes on to a target, so that the network between two
 * data centres can be cut without privileges.
 */
export class Relay {
  private state = RelayState.Open;
  private readonly pairs = new Set<Pair>();
  /** Connections that came while nothing passes; they are never answered. */
  private readonly held = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly target: string,
    /** `IP:port` to reach the target by. */
    readonly address: string,
  ) {
    server.on('connection', near => {
      this.accept(near);
    });
  }

  /** @param target `IP:port`. */
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
   * Cuts or heals. After a silent cut old connections are reset: their bytes are
   * lost, as those of a partition that outlasted TCP's patience.
   */
  set(state: RelayState): void {
    if (state === this.state) {
      return;
    }
    this.state = state;
    for (const {near, far} of this.pairs) {
      if (state === RelayState.Silent) {
        near.pause();
        far.pause();
      } else {
        near.resetAndDestroy();
        far.resetAndDestroy();
      }
    }
    if (state !== RelayState.Silent) {
      this.resetHeld();
    }
  }

  /** Stops listening and resets every connection. */
  async close(): Promise<void> {
    this.set(RelayState.Refusing);
    await new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  private resetHeld(): void {
    for (const socket of this.held) {
      socket.resetAndDestroy();
    }
    this.held.clear();
  }

  private accept(near: Socket): void {
    near.on('error', () => {
      near.destroy();
    });
    switch (this.state) {
      case RelayState.Open:
        this.pass(near);
        break;
      case RelayState.Silent:
        near.pause();
        this.held.add(near);
        near.once('close', () => this.held.delete(near));
        break;
      case RelayState.Refusing:
        near.resetAndDestroy();
        break;
    }
  }

  private pass(near: Socket): void {
    const [host, port] = this.target.split(':');
    const far = connect({
      host: host ?? '',
      port: Number(port),
      allowHalfOpen: true,
      noDelay: true,
    });
    near.setNoDelay(true);
    const pair = {near, far};
    this.pairs.add(pair);
    near.pipe(far);
    far.pipe(near);
    const end = () => {
      near.destroy();
      far.destroy();
      this.pairs.delete(pair);
    };
    far.on('error', end);
    near.once('close', end);
    far.once('close', end);
  }
}

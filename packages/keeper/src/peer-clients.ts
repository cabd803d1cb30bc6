import {createClient, type Client} from '@connectrpc/connect';
import {
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {KeeperService} from '@wisteriadeal/schema';

/** A peer whose machine vanished is noticed by missing answers to PING. */
const PING_MILLISECONDS = 10_000;
const PING_TIMEOUT_MILLISECONDS = 2_000;

/** The control services of one keeper. */
export type KeeperClient = Client<typeof KeeperService>;

/** Clients of other keepers, one HTTP/2 connection an address. */
export class PeerClients {
  private readonly clients = new Map<string, KeeperClient>();

  /** @param address `IP:port`. */
  client(address: string): KeeperClient {
    const known = this.clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const baseUrl = `http://${address}`;
    const sessionManager = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_MILLISECONDS,
      pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
    });
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl,
      sessionManager,
    });
    const client = createClient(KeeperService, transport);
    this.clients.set(address, client);
    return client;
  }

  /**
   * Lets go of every connection. Streams are ended by their own signals, and a
   * connection without streams does not keep a process alive. `abort` of the
   * session manager is not called: when the peer closes at the same moment, it
   * leaves the socket's error without a listener, which ends the process.
   */
  close(): void {
    this.clients.clear();
  }
}

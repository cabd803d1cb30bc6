import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {PeerSessionManager} from '@wisteriadeal/runtime';
import {KeeperService} from '@wisteriadeal/schema';

/**
 * Interval of HTTP/2 PING frames; a missing answer shows that the peer's host
 * was lost.
 */
const PING_INTERVAL_MILLISECONDS = 10_000;
const PING_TIMEOUT_MILLISECONDS = 2_000;

/** A client of the control service of one keeper. */
export type KeeperClient = Client<typeof KeeperService>;

/** Clients of other keepers, with one HTTP/2 connection per address. */
export class PeerClients {
  private readonly clients = new Map<string, KeeperClient>();

  /**
   * Returns the client of a keeper, and creates it on first use.
   *
   * @param address `IP:port`.
   */
  client(address: string): KeeperClient {
    const known = this.clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const baseUrl = `http://${address}`;
    const sessionManager = new PeerSessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MILLISECONDS,
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
   * Drops all clients. Streams are ended by their own signals, and a connection
   * without streams does not keep the process alive.
   */
  close(): void {
    this.clients.clear();
  }
}

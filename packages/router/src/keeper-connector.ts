import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {MessageQueue, PeerSessionManager} from '@wisteriadeal/runtime';
import {
  KeeperService,
  RouterMessageSchema,
  type KeeperMessage,
  type RouterMessage,
} from '@wisteriadeal/schema';

/** The fields from which a message to a keeper is created. */
export type RouterMessageInit = MessageInitShape<typeof RouterMessageSchema>;

/** A bidirectional message stream with one keeper. */
export interface KeeperStream {
  send(message: RouterMessageInit): void;
  /** Received messages; ends, or throws, when the stream closes. */
  readonly messages: AsyncIterable<KeeperMessage>;
  /** Closes the stream after the messages already sent. */
  close(): void;
}

/** Opens streams to keepers. */
export abstract class KeeperConnector {
  /** @param address `IP:port` of the keeper's control services. */
  abstract open(address: string, signal: AbortSignal): KeeperStream;
}

/** Opens streams with Connect over HTTP/2. */
export class ConnectKeeperConnector extends KeeperConnector {
  override open(address: string, signal: AbortSignal): KeeperStream {
    const baseUrl = `http://${address}`;
    const client = createClient(
      KeeperService,
      createConnectTransport({
        baseUrl,
        httpVersion: '2',
        sessionManager: new PeerSessionManager(baseUrl, {
          pingIntervalMs: PING_INTERVAL_MILLISECONDS,
          pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
        }),
      }),
    );
    const queue = new MessageQueue<RouterMessage>();
    return {
      send: message => {
        queue.push(create(RouterMessageSchema, message));
      },
      messages: client.routerSession(queue, {signal}),
      close: () => {
        queue.close();
      },
    };
  }
}

/**
 * A keeper whose host failed sends no connection reset, and the stream would stay
 * open for minutes. Pings detect the failure within three seconds, at a cost of a
 * few dozen bytes per second and peer.
 */
const PING_INTERVAL_MILLISECONDS = 1_000;
const PING_TIMEOUT_MILLISECONDS = 2_000;

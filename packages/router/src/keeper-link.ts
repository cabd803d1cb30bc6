import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {MessageQueue} from '@wisteriadeal/runtime';
import {
  KeeperService,
  RouterMessageSchema,
  type KeeperMessage,
  type RouterMessage,
} from '@wisteriadeal/schema';

/** A message to a keeper, before it is made. */
export type RouterMessageInit = MessageInitShape<typeof RouterMessageSchema>;

/** One open stream to one keeper. */
export interface KeeperLink {
  send(message: RouterMessageInit): void;
  /** Ends with an error or without one when the stream is over. */
  readonly messages: AsyncIterable<KeeperMessage>;
  /** Ends the stream after what was sent. */
  close(): void;
}

/** Opens streams to keepers; tests put fakes in its place. */
export abstract class KeeperConnector {
  /** @param address `IP:port` of the keeper's control services. */
  abstract open(address: string, signal: AbortSignal): KeeperLink;
}

/** Streams over HTTP/2 by Connect. */
export class ConnectKeeperConnector extends KeeperConnector {
  override open(address: string, signal: AbortSignal): KeeperLink {
    const client = createClient(
      KeeperService,
      createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: '2',
        pingIntervalMs: PING_INTERVAL_MILLISECONDS,
        pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
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
 * A keeper whose host vanished sends no reset, and the stream would stay open
 * for minutes. The ping finds it within three seconds; one a second and peer is
 * a few dozen bytes.
 */
const PING_INTERVAL_MILLISECONDS = 1_000;
const PING_TIMEOUT_MILLISECONDS = 2_000;

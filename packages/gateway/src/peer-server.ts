import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
  CrashSuspectService,
  EndpointPlaceService,
  GrantLoanService,
  StreamOriginService,
  TopicCopyService,
} from '@wisteriadeal/schema';
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Socket} from 'node:net';

import {
  decodeReport,
  encodeAllotment,
  type PlaceHolder,
} from './endpoint-places/index.js';
import {listen, portOf, type ListenAddress} from './listening.js';
import type {LoanHolder} from './loan-peers.js';
import {MAXIMUM_PEER_MESSAGE_BYTES} from './peer-messages.js';
import type {StreamOriginHolder} from './stream-origins/index.js';
import type {SuspectHolder} from './crashes/index.js';
import type {TopicCopyHolder} from './topic-copies/index.js';
import {TUNNEL_END_PATH} from './tunnel-protocol.js';
import type {TunnelServer} from './tunnel-server.js';

/**
 * How long idle connections are kept. A call sent while the connection is being closed
 * loses its answer, and the borrower does not ask that lender for two seconds.
 */
const KEEP_ALIVE_MILLISECONDS = 60_000;

/** What a host does for other hosts. */
export interface PeerServices {
  /** Lends tokens, and takes over those of stopping processes. */
  readonly loans: LoanHolder;
  /** Exchanges knowledge of requests that crash endpoints. */
  readonly suspects?: SuspectHolder;
  /** Keeps the origins of other hosts' streams. */
  readonly origins?: StreamOriginHolder;
  /** Gives copies of the topics that this host follows. */
  readonly copies?: TopicCopyHolder;
  /** Divides places at endpoints. */
  readonly places?: PlaceHolder;
  /** Relays connections to endpoints; without it, CONNECT requests are closed. */
  readonly tunnels?: TunnelServer;
}

/**
 * Server for other hosts, which request loans, hand over their tokens when they stop, open
 * tunnels to endpoints and ask how these ended. It uses HTTP/1.1 for the reason given at `PeerClients`.
 */
export class PeerServer {
  private constructor(
    private readonly server: Server,
    /** `IP:port` for peers. */
    readonly address: string,
  ) {}

  /** @throws The system's error if the address cannot be bound. */
  static async listen(
    at: ListenAddress,
    {loans, tunnels, suspects, origins, copies, places}: PeerServices,
  ): Promise<PeerServer> {
    const routes = connectNodeAdapter({
      readMaxBytes: MAXIMUM_PEER_MESSAGE_BYTES,
      routes: router => {
        router.service(GrantLoanService, {
          borrow: request => loans.lend(request),
          give: request => ({taken: loans.takeOver(request)}),
        });
        if (suspects !== undefined) {
          router.service(CrashSuspectService, {
            share: news => suspects.receive(news),
            requestTry: ({subjects, known}) => {
              if (known !== undefined) {
                suspects.receive(known);
              }
              return suspects.permitTry(subjects);
            },
          });
        }
        if (origins !== undefined) {
          router.service(StreamOriginService, {
            record: ({records}) => {
              origins.receive(records);
              return {};
            },
            find: query => origins.answer(query),
            past: () => origins.past(),
          });
        }
        if (places !== undefined) {
          router.service(EndpointPlaceService, {
            report: async report =>
              encodeAllotment(await places.receiveReport(decodeReport(report))),
            tell: news => {
              places.receiveNews(news);
              return {};
            },
          });
        }
        if (copies !== undefined) {
          router.service(TopicCopyService, {
            async *find({topic, position}) {
              for await (const bytes of copies.partsOf(topic, position)) {
                yield {bytes};
              }
            },
          });
        }
      },
    });
    const server = createServer((request, response) => {
      const path = request.url ?? '';
      if (path.startsWith(TUNNEL_END_PATH)) {
        const id = path.slice(TUNNEL_END_PATH.length);
        response.statusCode =
          tunnels?.wasEndedByEndpoint(id) === true ? 204 : 404;
        response.end();
      } else {
        answerOrRefuse(routes, request, response);
      }
    });
    server.on('connect', (request, socket) => {
      if (tunnels === undefined || !(socket instanceof Socket)) {
        socket.destroy();
      } else {
        tunnels.accept(request, socket);
      }
    });
    server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
    await listen(server, at);
    return new PeerServer(server, `${at.address}:${portOf(server)}`);
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeAllConnections();
    await closed;
  }
}

/** Answers 400 with the reason to a request that the library can't convert. */
function answerOrRefuse(
  routes: RequestListener,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  try {
    routes(request, response);
  } catch (error) {
    response.statusCode = 400;
    response.end(String(error));
  }
}

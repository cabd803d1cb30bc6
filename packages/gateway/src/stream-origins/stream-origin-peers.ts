import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {Code, ConnectError} from '@connectrpc/connect';
import {StepError, type HostLink} from '@wisteriadeal/platform';
import {
  StreamOriginQuerySchema,
  StreamOriginRecordsSchema,
  StreamOriginService,
  type PastOrigins,
  type StreamOriginAnswer,
  type StreamOriginQuery,
  type StreamOriginRecord,
} from '@wisteriadeal/schema';

import {PeerCalls} from '../peer-calls.js';
import {OriginFinder} from './origin-finder.js';

/** Fields of a query for the origin of a stream. */
export type OriginQuery = MessageInitShape<typeof StreamOriginQuerySchema>;

/** Client for what other hosts know of the origins of streams. */
export abstract class StreamOriginPeers {
  /**
   * Adds records to those of one host.
   *
   * @throws StepError if no answer came in time.
   */
  abstract record(
    address: string,
    records: readonly StreamOriginRecord[],
  ): Promise<void>;

  /**
   * Asks one host what it knows of a stream.
   *
   * @throws StepError if no answer came in time.
   */
  abstract find(
    address: string,
    query: OriginQuery,
  ): Promise<StreamOriginAnswer>;

  /**
   * Asks one host what it saw of endpoints and routes.
   *
   * @throws StepError if no answer came in time.
   */
  abstract past(address: string): Promise<PastOrigins>;

  /** Closes open connections. */
  abstract close(): void;
}

/** What other hosts ask of this one about the origins of streams. */
export abstract class StreamOriginHolder {
  /** Adds another host's records. */
  abstract receive(records: readonly StreamOriginRecord[]): void;

  /** Tells what this host knows of a stream. */
  abstract answer(query: StreamOriginQuery): StreamOriginAnswer;

  /** Tells what this host saw of endpoints and routes. */
  abstract past(): PastOrigins;
}

/** Without an answer a stream is refused, so that a busy host is waited for. */
const ANSWER_TIMEOUT_MILLISECONDS = 400;

/** Client over Connect. */
export class ConnectStreamOriginPeers extends StreamOriginPeers {
  private readonly calls: PeerCalls<typeof StreamOriginService>;
  private readonly finder = new OriginFinder((address, queries) =>
    this.findAll(address, queries),
  );

  /** @param link This host's link; timeouts are longer while it is congested. */
  constructor(link: HostLink) {
    super();
    this.calls = new PeerCalls(
      StreamOriginService,
      link,
      ANSWER_TIMEOUT_MILLISECONDS,
    );
  }

  override async record(
    address: string,
    records: readonly StreamOriginRecord[],
  ): Promise<void> {
    const message = create(StreamOriginRecordsSchema, {records: [...records]});
    await this.calls.call('record origins', address, (client, timeoutMs) =>
      client.record(message, {timeoutMs}),
    );
  }

  override find(
    address: string,
    query: OriginQuery,
  ): Promise<StreamOriginAnswer> {
    return this.finder.find(address, query);
  }

  override past(address: string): Promise<PastOrigins> {
    return this.calls.call('past origins', address, (client, timeoutMs) =>
      client.past({}, {timeoutMs}),
    );
  }

  override close(): void {
    this.calls.close();
  }

  private async findAll(
    address: string,
    queries: readonly OriginQuery[],
  ): Promise<readonly StreamOriginAnswer[]> {
    const [first, ...others] = queries;
    if (first !== undefined && others.length === 0) {
      return [await this.findOne(address, first)];
    }
    try {
      const {answers} = await this.calls.call(
        'find origins',
        address,
        (client, timeoutMs) =>
          client.findAll({queries: [...queries]}, {timeoutMs}),
      );
      return answers;
    } catch (error) {
      if (!isUnimplemented(error)) {
        throw error;
      }
      // Hosts of an earlier release answer one query at a time.
      return Promise.all(queries.map(query => this.findOne(address, query)));
    }
  }

  private findOne(
    address: string,
    query: OriginQuery,
  ): Promise<StreamOriginAnswer> {
    return this.calls.call('find origin', address, (client, timeoutMs) =>
      client.find(query, {timeoutMs}),
    );
  }
}

function isUnimplemented(error: unknown): boolean {
  return (
    error instanceof StepError &&
    error.cause instanceof ConnectError &&
    error.cause.code === Code.Unimplemented
  );
}

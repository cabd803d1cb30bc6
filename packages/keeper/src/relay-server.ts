import {create} from '@bufbuild/protobuf';
import {Code, ConnectError} from '@connectrpc/connect';
import {
  FollowStreamMessageSchema,
  type FollowStreamMessage,
  type FollowStreamRequest,
} from '@wisteriadeal/schema';

import type {StreamReplica} from './stream-replica.js';

/**
 * Records per batch; each batch is read from the buffer after the previous one
 * was sent.
 */
const RECORDS_PER_BATCH = 200;

/** Relays records to peers that can't read the log themselves. */
export class RelayServer {
  constructor(
    private readonly self: string,
    private readonly replicas: readonly StreamReplica[],
  ) {}

  /**
   * Sends the records of a stream to one follower until the signal is aborted.
   * A follower that is behind the buffered records first gets a checkpoint.
   *
   * @throws ConnectError with code NotFound if this keeper has no such stream.
   */
  async *follow(
    request: FollowStreamRequest,
    signal: AbortSignal,
  ): AsyncGenerator<FollowStreamMessage> {
    const replica = this.replicas.find(
      candidate => candidate.stream === request.stream,
    );
    if (replica === undefined) {
      throw new ConnectError(`no stream ${request.stream}`, Code.NotFound);
    }
    let next = request.fromOffset;
    while (!signal.aborted) {
      const first = replica.recent.firstOffset ?? replica.nextOffset;
      if (next < first) {
        next = replica.nextOffset;
        yield this.checkpointMessage(replica);
        continue;
      }
      const records = replica.recent.from(next, RECORDS_PER_BATCH);
      for (const record of records) {
        yield create(FollowStreamMessageSchema, {
          offset: record.offset,
          record: record.payload,
          appendedAtMilliseconds: record.appendedAtMilliseconds,
        });
        next = record.offset + 1;
      }
      if (records.length === 0) {
        await replica.nextRecord(signal);
      }
    }
  }

  private checkpointMessage(replica: StreamReplica): FollowStreamMessage {
    return create(FollowStreamMessageSchema, {
      offset: replica.nextOffset,
      record: replica.checkpoint(this.self),
      firstOffset: replica.nextOffset,
    });
  }
}

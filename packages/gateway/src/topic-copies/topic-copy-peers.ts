import {
  Fate,
  NetworkTimeout,
  StepError,
  type HostLink,
  type NewestRecords,
} from '@wisteriadeal/platform';
import {TopicCopyService} from '@wisteriadeal/schema';

import {PeerClients} from '../peer-clients.js';
import {decodeTopicCopy} from './topic-copy-codec.js';

/** A topic, and how far a host has read it. */
export interface TopicPosition {
  readonly topic: string;
  /** Every change before this offset has been read. */
  readonly position: number;
}

/** Client for the copies of keyed topics that other hosts have. */
export abstract class TopicCopyPeers {
  /**
   * Asks one host for its copy of a topic.
   *
   * @param from How far this host has read the topic.
   * @returns Undefined if the host has nothing newer.
   * @throws StepError if the host falls silent, or the call is aborted.
   */
  abstract find(
    address: string,
    from: TopicPosition,
    signal: AbortSignal,
  ): Promise<NewestRecords | undefined>;

  /** Closes open connections. */
  abstract close(): void;
}

/** What other hosts ask of this one about the topics that it follows. */
export abstract class TopicCopyHolder {
  /** The parts of a compressed copy; none if it is not newer than the position. */
  abstract partsOf(topic: string, position: number): AsyncIterable<Uint8Array>;
}

/** Longest time until the next part of a copy; a host sends it at once. */
const PART_TIMEOUT_MILLISECONDS = 400;
/** Maximum size of a compressed copy, bytes; that of 4,000 routes takes 0.1 MB. */
const MAXIMUM_COMPRESSED_BYTES = 4_194_304;

/** What a part takes in memory besides its bytes, approximately. */
const PART_OVERHEAD_BYTES = 200;

/** Client over Connect. */
export class ConnectTopicCopyPeers extends TopicCopyPeers {
  private readonly clients = new PeerClients(TopicCopyService);

  /** @param link This host's link; timeouts are longer while it is congested. */
  constructor(private readonly link: HostLink) {
    super();
  }

  override async find(
    address: string,
    from: TopicPosition,
    signal: AbortSignal,
  ): Promise<NewestRecords | undefined> {
    const peer = this.clients.at(address);
    const silence = new AbortController();
    const timeout = new NetworkTimeout(
      PART_TIMEOUT_MILLISECONDS + this.link.delayMilliseconds,
      () => {
        silence.abort();
      },
    );
    try {
      const parts: Uint8Array[] = [];
      let bytesLeft = MAXIMUM_COMPRESSED_BYTES;
      const answer = peer.client.find(
        {...from},
        {
          signal: AbortSignal.any([signal, silence.signal]),
        },
      );
      for await (const {bytes} of answer) {
        timeout.refresh();
        bytesLeft -= bytes.length + PART_OVERHEAD_BYTES;
        if (bytesLeft < 0) {
          throw new Error(`more than ${MAXIMUM_COMPRESSED_BYTES} bytes`);
        }
        parts.push(bytes);
      }
      return parts.length === 0
        ? undefined
        : await decodeTopicCopy(Buffer.concat(parts));
    } catch (error) {
      this.clients.closeClient(address, peer);
      throw new StepError(
        'find topic copy',
        address,
        Fate.NotDone,
        String(error),
        {cause: error},
      );
    } finally {
      timeout.close();
    }
  }

  override close(): void {
    this.clients.close();
  }
}

import type {NewestRecords} from '@wisteriadeal/platform';

import {encodeTopicCopy} from './topic-copy-codec.js';
import {TopicCopyHolder} from './topic-copy-peers.js';

/** Size of the parts in which a copy is sent; each restarts the receiver's timeout. */
const PART_BYTES = 8_192;

/** A followed topic, as other hosts may ask for it. */
export interface CopiedTopic {
  readonly topic: string;
  /** The newest records; undefined before the topic was read. */
  newest(): NewestRecords | undefined;
}

/**
 * Gives other hosts copies of the topics that this host follows.
 *
 * @example
 * ```ts
 * const copies = new TopicCopies([configurationFollower]);
 * for await (const bytes of copies.partsOf('keyed.op', 7)) { … }
 * ```
 */
export class TopicCopies extends TopicCopyHolder {
  /** The latest compressed copy; it is compressed once for all hosts that ask. */
  private latest:
    | {
        readonly topic: string;
        readonly position: number;
        readonly bytes: Promise<Uint8Array>;
      }
    | undefined;

  constructor(private readonly topics: readonly CopiedTopic[]) {
    super();
  }

  override async *partsOf(
    topic: string,
    position: number,
  ): AsyncIterable<Uint8Array> {
    const newest = this.topics.find(each => each.topic === topic)?.newest();
    if (newest === undefined || newest.resumeOffset <= position) {
      return;
    }
    const bytes = await this.compressed(topic, newest);
    for (let at = 0; at < bytes.length; at += PART_BYTES) {
      yield bytes.subarray(at, at + PART_BYTES);
    }
  }

  private compressed(
    topic: string,
    newest: NewestRecords,
  ): Promise<Uint8Array> {
    const position = newest.resumeOffset;
    if (this.latest?.topic !== topic || this.latest.position !== position) {
      this.latest = {topic, position, bytes: encodeTopicCopy(newest)};
    }
    return this.latest.bytes;
  }
}

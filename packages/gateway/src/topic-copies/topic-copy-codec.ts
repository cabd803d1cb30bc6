import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import type {NewestRecords} from '@wisteriadeal/platform';
import {TopicCopySchema} from '@wisteriadeal/schema';
import {promisify} from 'node:util';
import {deflateRaw, inflateRaw} from 'node:zlib';

/** Maximum size of a decompressed copy, bytes. */
const MAXIMUM_COPY_BYTES = 67_108_864;
/** Fast compression: the slowest one makes a configuration only slightly smaller. */
const COMPRESSION_LEVEL = 1;

const compress = promisify(deflateRaw);
const decompress = promisify(inflateRaw);

/**
 * Encodes and compresses the newest records of a topic. A configuration of 2,000 routes
 * becomes 13 times smaller.
 *
 * @example
 * ```ts
 * const copy = await decodeTopicCopy(await encodeTopicCopy(newest));
 * ```
 */
export async function encodeTopicCopy({
  items,
  resumeOffset,
}: NewestRecords): Promise<Uint8Array> {
  const message = create(TopicCopySchema, {
    position: resumeOffset,
    records: items.map(({key, value = new Uint8Array(), offset}) => ({
      key,
      offset,
      value: Uint8Array.from(value),
    })),
  });
  return compress(toBinary(TopicCopySchema, message), {
    level: COMPRESSION_LEVEL,
  });
}

/**
 * Decodes a compressed copy.
 *
 * @throws Error if the bytes are not one.
 */
export async function decodeTopicCopy(
  copy: Uint8Array,
): Promise<NewestRecords> {
  const bytes = await decompress(copy, {maxOutputLength: MAXIMUM_COPY_BYTES});
  const {position, records} = fromBinary(TopicCopySchema, bytes);
  return {
    resumeOffset: position,
    items: records.map(({key, value, offset}) => ({key, value, offset})),
  };
}

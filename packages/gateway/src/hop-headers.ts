/**
 * Hop-by-hop headers, which apply to a single connection (RFC 9110, section
 * 7.6.1). The length and transfer coding of a body are set anew for each
 * connection.
 */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** One header as received. */
export type HeaderPair = readonly [name: string, value: string];

/**
 * Groups alternating names and values into pairs.
 *
 * @example
 * ```ts
 * headerPairs(['Accept', 'a', 'Accept', 'b']); // [['Accept','a'],['Accept','b']]
 * ```
 */
export function headerPairs(rawHeaders: readonly string[]): HeaderPair[] {
  const pairs: HeaderPair[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '']);
  }
  return pairs;
}

/** Returns the end-to-end headers in their original order. */
export function endToEndHeaders(rawHeaders: readonly string[]): HeaderPair[] {
  const pairs = headerPairs(rawHeaders);
  const connectionOptions = new Set(
    pairs
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.toLowerCase().split(','))
      .map(name => name.trim()),
  );
  return pairs.filter(([name]) => {
    const key = name.toLowerCase();
    return !HOP_BY_HOP_HEADERS.has(key) && !connectionOptions.has(key);
  });
}

/**
 * Headers that concern one connection only (RFC 9110, section 7.6.1). Length and
 * coding of a body are set anew for each connection.
 */
const HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** One header as it came. */
export type HeaderPair = readonly [name: string, value: string];

/**
 * Pairs names and values that come in turn.
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

/** The headers that are meant for the other end, in their order. */
export function endToEndHeaders(rawHeaders: readonly string[]): HeaderPair[] {
  const pairs = headerPairs(rawHeaders);
  const named = new Set(
    pairs
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.toLowerCase().split(','))
      .map(name => name.trim()),
  );
  return pairs.filter(([name]) => {
    const key = name.toLowerCase();
    return !HOP_HEADERS.has(key) && !named.has(key);
  });
}

/** One server-sent event. */
export interface ServerSentEvent {
  readonly id: string | undefined;
  readonly data: string;
}

const FIELD = /^(data|id): ?(.*)$/;

function parseEvent(block: string): ServerSentEvent | undefined {
  let id: string | undefined;
  const data: string[] = [];
  for (const line of block.split('\n')) {
    const match = FIELD.exec(line);
    if (match?.[1] === 'id') {
      id = match[2];
    } else if (match?.[2] !== undefined) {
      data.push(match[2]);
    }
  }
  return data.length === 0 ? undefined : {id, data: data.join('\n')};
}

/**
 * Parses a body as server-sent events, as the HTML standard defines them
 * (https://html.spec.whatwg.org/multipage/server-sent-events.html). Data after the
 * last blank line is an incomplete event and is discarded.
 *
 * @example
 * ```ts
 * for await (const event of readServerSentEvents(body)) handle(event.data);
 * ```
 */
export async function* readServerSentEvents(
  body: AsyncIterable<unknown>,
): AsyncGenerator<ServerSentEvent> {
  const decoder = new TextDecoder();
  let pending = '';
  for await (const chunk of body) {
    const text = decoder.decode(chunk as Uint8Array, {stream: true});
    pending += text.replaceAll('\r', '');
    const blocks = pending.split('\n\n');
    pending = blocks.pop() ?? '';
    for (const block of blocks) {
      const event = parseEvent(block);
      if (event !== undefined) {
        yield event;
      }
    }
  }
}

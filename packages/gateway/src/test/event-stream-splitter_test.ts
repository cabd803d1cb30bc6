import fc from 'fast-check';
import {expect, it} from 'vitest';

import {EventStreamSplitter, joinEvents} from '../event-stream-splitter.js';

/** Events and comments as endpoints send them, each with the identifier that it has. */
const part = fc.record({
  kind: fc.constantFrom('event', 'version', 'comment'),
  lineEnd: fc.constantFrom('\n', '\r\n'),
  data: fc.constantFrom('', 'a', 'id: 9', ': b', '\u00e4\u00f6'),
});

function textOf(
  {kind, lineEnd, data}: {kind: string; lineEnd: string; data: string},
  id: number,
): string {
  const lines = {
    event: [`id: ${id}`, `data: ${data}`],
    version: [`x-weight-versions: ${id}`, `id:${id}`, `data: ${data}`],
    comment: [`: ${data}`],
  }[kind];
  return [...(lines ?? []), '', ''].join(lineEnd);
}

it('splits a stream into the same events, wherever its chunks are cut', () => {
  // Guards against events that are lost, joined or passed on in part.
  fc.assert(
    fc.property(
      fc.array(part, {maxLength: 6}),
      fc.array(fc.nat(200), {maxLength: 8}),
      (parts, cuts) => {
        const texts = parts.map((each, index) => textOf(each, index + 1));
        const stream = Buffer.from(texts.join(''));
        const splitter = new EventStreamSplitter();
        const ends = [...cuts, stream.length].map(cut =>
          Math.min(cut, stream.length),
        );
        let from = 0;
        const events = ends
          .sort((one, other) => one - other)
          .flatMap(end => {
            const chunk = stream.subarray(from, end);
            from = end;
            return splitter.push(chunk);
          });
        expect(events.map(({bytes}) => bytes.toString())).toEqual(texts);
        expect(events.map(({id}) => id)).toEqual(
          parts.map(({kind}, index) =>
            kind === 'comment' ? undefined : String(index + 1),
          ),
        );
        expect(splitter.incompleteEvent.length).toBe(0);
      },
    ),
    {numRuns: 300, seed: 82},
  );
});

/** Text of a stream cut into chunks, which may be empty. */
const anyChunks = fc.array(
  fc.string({
    unit: fc.constantFrom('\n', '\n', '\r', ':', 'i', 'd', 'id:', ' ', '1'),
    maxLength: 12,
  }),
  {maxLength: 12},
);

it('reads any bytes, in any chunks, as the same events with the same fields', () => {
  // Guards against bytes whose meaning depends on where a chunk ends.
  fc.assert(
    fc.property(anyChunks, chunks => {
      const splitter = new EventStreamSplitter();
      const pushed = chunks.map(chunk => splitter.push(Buffer.from(chunk)));
      const events = pushed.flat();
      const texts = chunks.join('').match(/[^]*?\n\r?\n/g) ?? [];
      expect(events.map(({bytes}) => bytes.toString())).toEqual([...texts]);
      expect(pushed.map(each => joinEvents(each).toString()).join('')).toBe(
        texts.join(''),
      );
      expect(events.map(({hasField}) => hasField)).toEqual(
        texts.map(text => /^[^:\r\n]/m.test(text)),
      );
      expect(events.map(({id}) => id)).toEqual(
        texts.map(text => /(?:^|\n)id: ?([^\r\n]*)/.exec(text)?.[1]),
      );
      expect(splitter.incompleteEvent.toString()).toBe(
        chunks.join('').slice(texts.join('').length),
      );
    }),
    {numRuns: 2_000, seed: 85},
  );
});

import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {once} from 'node:events';
import {
  createServer,
  get,
  type IncomingMessage,
  type RequestListener,
  type Server,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {EventBatches} from '../stream-batching/index.js';

const PASS_MILLISECONDS = 160;
const PARTS = 40;

let server: Server | undefined;
let reads = 0;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
  reads = 0;
});

/** Batches of an event loop that was idle for this share of the last second. */
function batchesAt(idleShare: number): EventBatches {
  const batches = new EventBatches(
    PASS_MILLISECONDS,
    EventLog.create(LogLevel.ERROR, {}),
    {
      batchIntervalChanged: () => undefined,
      batchRead: () => {
        reads++;
      },
    },
  );
  batches.observe(0, 0);
  batches.observe(1_000, idleShare * 1_000);
  return batches;
}

/** Sends a part every 5 ms, and calls `atEnd` after the last one. */
function sendParts(
  atEnd: (response: Parameters<RequestListener>[1]) => void,
): RequestListener {
  return (_request, response) => {
    let sent = 0;
    const timer = setInterval(() => {
      response.write(`${++sent};`);
      if (sent === PARTS) {
        clearInterval(timer);
        atEnd(response);
      }
    }, 5);
    response.on('close', () => {
      clearInterval(timer);
    });
  };
}

interface Reading {
  readonly text: string;
  readonly chunks: number;
  readonly isComplete: boolean;
}

async function readAnswer(
  answer: RequestListener,
  batches: EventBatches,
): Promise<Reading> {
  server = createServer(answer).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const incoming = await new Promise<IncomingMessage>(resolve =>
    get({host: '127.0.0.1', port, agent: false}, resolve),
  );
  const chunks: string[] = [];
  incoming.on('data', (chunk: Buffer) => {
    chunks.push(chunk.toString());
    batches.hold(incoming);
  });
  incoming.on('error', () => undefined);
  await new Promise(resolve => incoming.once('close', resolve));
  batches.close();
  return {
    text: chunks.join(''),
    chunks: chunks.length,
    isComplete: incoming.complete,
  };
}

const WHOLE = Array.from({length: PARTS}, (_, index) => `${index + 1};`).join(
  '',
);

describe('reading streams in batches', () => {
  it('reads the events of a busy host together, all of them and in order', async () => {
    // Guards against events that are lost or overtaken while a stream is paused.
    const end = sendParts(response => response.end());
    const {text, chunks, isComplete} = await readAnswer(end, batchesAt(0.05));
    expect({text, isComplete}).toEqual({text: WHOLE, isComplete: true});
    expect(chunks).toBeLessThan(PARTS / 2);
    expect(reads).toBeGreaterThan(0);
  });

  it('reads each event of an idle host at once', async () => {
    // Guards against a delay of events in calm.
    const end = sendParts(response => response.end());
    const {text} = await readAnswer(end, batchesAt(0.9));
    expect(text).toBe(WHOLE);
    expect(reads).toBe(0);
  });

  it('ends when a held stream breaks off', async () => {
    // Guards against a request that waits for ever for a stream that was cut while paused.
    const cut = sendParts(response => response.destroy());
    const {isComplete} = await readAnswer(cut, batchesAt(0.05));
    expect(isComplete).toBe(false);
  });
});

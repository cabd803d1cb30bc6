import {CLERK_SECRET} from './router-rig.js';

/** Options of a caller's request. */
export interface CallOptions {
  readonly secret?: string;
  readonly key?: string;
  readonly lastEvent?: number;
  readonly signal?: AbortSignal;
}

/** A stream as received by its caller. */
export interface ReceivedStream {
  readonly status: number;
  readonly requestId: string;
  readonly text: string;
  readonly lastId: number;
  /** Whether the end mark was received. */
  readonly complete: boolean;
  /** The problem document that ended the stream, if any. */
  readonly problem: string | undefined;
  readonly raw: string;
}

/** Returns the headers of a request. */
export function headersOf(options: CallOptions): Record<string, string> {
  return {
    'Content-Type': 'application/json',
    Authorization: `Bearer ${options.secret ?? CLERK_SECRET}`,
    ...(options.key === undefined ? {} : {'Idempotency-Key': options.key}),
    ...(options.lastEvent === undefined
      ? {}
      : {'Last-Event-ID': String(options.lastEvent)}),
  };
}

/** Requests a completion. */
export function chat(
  url: string,
  prompt: string,
  options: CallOptions & {readonly stream?: boolean} = {},
): Promise<Response> {
  return fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: headersOf(options),
    body: JSON.stringify({
      model: 'tutor-7b',
      stream: options.stream ?? true,
      messages: [{role: 'user', content: prompt}],
    }),
    ...(options.signal === undefined ? {} : {signal: options.signal}),
  });
}

/** Requests a certificate from the plain service. */
export function requestCertificate(
  url: string,
  body: string,
  options: CallOptions = {},
): Promise<Response> {
  return fetch(`${url}/v1/services/registry-app/certificates`, {
    method: 'POST',
    headers: headersOf(options),
    body,
  });
}

function contentOf(data: string): string {
  const chunk = JSON.parse(data) as {
    choices: {delta?: {content?: string}}[];
  };
  return chunk.choices[0]?.delta?.content ?? '';
}

/** Reads a stream until it ends or its connection breaks. */
export async function readStream(response: Response): Promise<ReceivedStream> {
  let raw = '';
  try {
    for await (const bytes of response.body ?? []) {
      raw += Buffer.from(bytes as Uint8Array).toString();
    }
  } catch {
    // The connection broke; the bytes received so far are returned.
  }
  const data = [...raw.matchAll(/^id: (\d+)\ndata: (.*)$/gm)];
  return {
    status: response.status,
    requestId: response.headers.get('x-request-id') ?? '',
    text: data.map(([, , chunk]) => contentOf(chunk ?? '{}')).join(''),
    lastId: Number(data.at(-1)?.[1] ?? -1),
    complete: raw.endsWith('data: [DONE]\n\n'),
    problem: /^event: error\ndata: (.*)$/m.exec(raw)?.[1],
    raw,
  };
}

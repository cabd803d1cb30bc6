import {CLERK} from './router-rig.js';

/** A caller's request, as the tests vary it. */
export interface CallOptions {
  readonly secret?: string;
  readonly key?: string;
  readonly lastEvent?: number;
  readonly signal?: AbortSignal;
}

/** A stream as its caller saw it. */
export interface SeenStream {
  readonly status: number;
  readonly requestId: string;
  readonly text: string;
  readonly lastId: number;
  /** The end mark came. */
  readonly whole: boolean;
  /** The problem that ended it. */
  readonly problem: string | undefined;
  readonly raw: string;
}

/** Headers of a request. */
export function headersOf(options: CallOptions): Record<string, string> {
  return {
    'Content-Type': 'application/json',
    Authorization: `Bearer ${options.secret ?? CLERK}`,
    ...(options.key === undefined ? {} : {'Idempotency-Key': options.key}),
    ...(options.lastEvent === undefined
      ? {}
      : {'Last-Event-ID': String(options.lastEvent)}),
  };
}

/** Asks for a completion. */
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

/** Issues a certificate. */
export function certify(
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

/** Reads a stream as far as it goes. */
export async function readStream(response: Response): Promise<SeenStream> {
  let raw = '';
  try {
    for await (const bytes of response.body ?? []) {
      raw += Buffer.from(bytes as Uint8Array).toString();
    }
  } catch {
    // The connection broke; what came is what the caller has.
  }
  const data = [...raw.matchAll(/^id: (\d+)\ndata: (.*)$/gm)];
  return {
    status: response.status,
    requestId: response.headers.get('x-request-id') ?? '',
    text: data.map(([, , chunk]) => contentOf(chunk ?? '{}')).join(''),
    lastId: Number(data.at(-1)?.[1] ?? -1),
    whole: raw.endsWith('data: [DONE]\n\n'),
    problem: /^event: error\ndata: (.*)$/m.exec(raw)?.[1],
    raw,
  };
}

import {request} from 'node:http';

const EVENT = /id: (\d+)\ndata: ([^\n]*)\n\n/g;

/**
 * Sends one request on a channel of its own.
 *
 * @returns Resolves when the answer has ended or the channel is closed.
 */
export function send({
  port,
  method = 'POST',
  path,
  headers,
  body = '',
  agent = false,
  onEvent,
  breaking,
}) {
  return new Promise(resolve => {
    const result = {
      status: 0,
      events: [],
      isComplete: false,
      text: '',
      error: undefined,
    };
    const finish = () => {
      result.endedAt = performance.now();
      resolve(result);
    };
    const outgoing = request(
      {
        host: '127.0.0.1',
        port,
        method,
        path,
        agent,
        headers: {...headers, 'Content-Length': Buffer.byteLength(body)},
      },
      incoming => {
        result.status = incoming.statusCode;
        result.headers = incoming.headers;
        let rest = '';
        incoming.on('data', chunk => {
          result.text += chunk;
          rest += chunk;
          for (const [whole, id, data] of rest.matchAll(EVENT)) {
            rest = rest.slice(rest.indexOf(whole) + whole.length);
            const event = {id: Number(id), data, at: performance.now()};
            result.events.push(event);
            onEvent?.(event);
          }
        });
        incoming.on('error', error => {
          result.error = error.code ?? error.message;
        });
        incoming.on('close', () => {
          result.isComplete = incoming.complete;
          finish();
        });
      },
    );
    outgoing.on('error', error => {
      result.error ??= error.code ?? error.message;
      if (result.status === 0) {
        finish();
      }
    });
    breaking?.once('break', () => outgoing.destroy());
    outgoing.end(body);
  });
}

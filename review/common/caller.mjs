import {request} from 'node:http';

let sent = 0;

/** An attempt identifier that was never used before. */
export function newAttempt() {
  return `${process.pid.toString(16)}${(++sent).toString(16).padStart(6, '0')}`;
}

/**
 * Sends one attempt of a request on a new channel. Resolves with what came; the status
 * is 0 if no head came, and `isComplete` is false if the answer broke off.
 */
export function send({port, attempt, path, headers, body = '', deadline}) {
  return new Promise(resolve => {
    const answer = {status: 0, headers: {}, text: '', isComplete: false};
    const outgoing = request(
      {
        host: '127.0.0.1',
        port,
        method: 'POST',
        path,
        agent: false,
        headers: {
          Host: 'shop.example',
          'X-Attempt-Id': attempt,
          'X-Deadline-Ms': String(deadline),
          'Content-Length': String(Buffer.byteLength(body)),
          ...headers,
        },
      },
      incoming => {
        answer.status = incoming.statusCode;
        answer.headers = incoming.headers;
        incoming.on('data', chunk => {
          answer.text += chunk.toString();
        });
        incoming.on('error', () => undefined);
        incoming.on('close', () => {
          answer.isComplete = incoming.complete;
          finish();
        });
      },
    );
    const timer = setTimeout(() => {
      outgoing.destroy();
      finish();
    }, deadline);
    const finish = () => {
      clearTimeout(timer);
      resolve(answer);
    };
    outgoing.on('error', finish);
    outgoing.end(body);
  });
}

/** The complete events of a stream: identifier and version of the server. */
export function eventsOf(text) {
  return [...text.matchAll(/^id: (\d+)\ndata: (\S+) .*\n\n/gm)].map(
    ([, id, version]) => ({id: Number(id), version}),
  );
}

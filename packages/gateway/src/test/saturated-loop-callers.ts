import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/** Results of the callers that opened a connection for their request. */
export interface NewCallerResults {
  readonly sent: number;
  readonly answered: number;
  /** Answers that the request was not run. */
  readonly refused: number;
  /** Connects that took longer than a second. */
  readonly connectTimeouts: number;
  /** Requests without an answer for a second. */
  readonly readTimeouts: number;
  readonly resets: number;
  /** Answers on connections that were open before. */
  readonly keptAnswers: number;
}

/** Load on one server. */
export interface CallerLoad {
  readonly port: number;
  /** Callers that send their next request as soon as they have an answer. */
  readonly keptConnections: number;
  /** Callers that open a connection, per second. */
  readonly newPerSecond: number;
  readonly milliseconds: number;
}

/** Runs in a thread of its own, since the server saturates the event loop. */
const CALLERS = `
  const {parentPort, workerData} = require('node:worker_threads');
  const {connect} = require('node:net');
  const {port, keptConnections, newPerSecond, milliseconds} = workerData;
  const REQUEST = 'GET / HTTP/1.1\\r\\nHost: shop.example\\r\\n\\r\\n';
  const TIMEOUT_MILLISECONDS = 1000;
  const results = {sent: 0, answered: 0, refused: 0, connectTimeouts: 0,
    readTimeouts: 0, resets: 0, keptAnswers: 0};
  const kept = [];
  let isRunning = true;
  for (let index = 0; index < keptConnections; index++) {
    const socket = connect(port, '127.0.0.1');
    kept.push(socket);
    socket.on('connect', () => { socket.write(REQUEST); });
    socket.on('error', () => undefined);
    socket.on('data', () => {
      results.keptAnswers++;
      if (isRunning) socket.write(REQUEST);
    });
  }
  function callOnce() {
    results.sent++;
    return new Promise(resolve => {
      const socket = connect(port, '127.0.0.1');
      const end = result => {
        clearTimeout(timer);
        results[result]++;
        socket.destroy();
        resolve();
      };
      let timer = setTimeout(end, TIMEOUT_MILLISECONDS, 'connectTimeouts');
      socket.on('connect', () => {
        clearTimeout(timer);
        timer = setTimeout(end, TIMEOUT_MILLISECONDS, 'readTimeouts');
        socket.write(REQUEST);
      });
      socket.once('data', data => {
        end(data.includes(' 503 ') ? 'refused' : 'answered');
      });
      socket.on('error', () => { end('resets'); });
    });
  }
  setTimeout(() => {
    const calls = [];
    const startedAt = performance.now();
    const timer = setInterval(() => {
      const age = performance.now() - startedAt;
      while (calls.length < Math.min(age, milliseconds) * newPerSecond / 1000) {
        calls.push(callOnce());
      }
      if (age < milliseconds) return;
      clearInterval(timer);
      Promise.all(calls).then(() => {
        isRunning = false;
        kept.forEach(socket => { socket.destroy(); });
        parentPort.postMessage(results);
      });
    }, 5);
  }, 1000);
`;

/** Sends the load and resolves with the results. */
export async function runCallers(load: CallerLoad): Promise<NewCallerResults> {
  const worker = new Worker(CALLERS, {eval: true, workerData: load});
  const [results] = (await once(worker, 'message')) as [NewCallerResults];
  await worker.terminate();
  return results;
}

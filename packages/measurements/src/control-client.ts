import {HttpPeer} from '@wisteriadeal/platform';

const LIMIT_MILLISECONDS = 5_000;
const FIRST_ERROR_STATUS = 400;

/** Sends control requests to one process. */
export class ControlClient {
  private readonly peer: HttpPeer;

  /** @param address `IP:port`. */
  constructor(address: string) {
    this.peer = new HttpPeer(`http://${address}`, address);
  }

  /**
   * Sends JSON.
   *
   * @throws Error where it is not taken.
   */
  async send(method: string, path: string, value: unknown): Promise<void> {
    await this.exchange(method, path, JSON.stringify(value));
  }

  /** Reads JSON, whose kind the caller states. */
  async read(path: string): Promise<unknown> {
    return JSON.parse(await this.exchange('GET', path));
  }

  /** The status of a GET; 0 where there is no answer. */
  async status(path: string): Promise<number> {
    try {
      const answer = await this.peer.exchange({
        step: 'look at',
        method: 'GET',
        path,
        timeouts: {connect: LIMIT_MILLISECONDS, total: LIMIT_MILLISECONDS},
      });
      return answer.status;
    } catch {
      return 0;
    }
  }

  /** Ends open connections. */
  async close(): Promise<void> {
    await this.peer.close();
  }

  private async exchange(
    method: string,
    path: string,
    body?: string,
  ): Promise<string> {
    const answer = await this.peer.exchange({
      step: `control ${path}`,
      method,
      path,
      ...(body === undefined ? {} : {body}),
      timeouts: {connect: LIMIT_MILLISECONDS, total: LIMIT_MILLISECONDS},
    });
    const text = answer.body.toString();
    if (answer.status >= FIRST_ERROR_STATUS) {
      throw new Error(`${method} ${path}: HTTP ${answer.status}: ${text}`);
    }
    return text;
  }
}

import {HttpPeer} from '@wisteriadeal/platform';

const TIMEOUT_MILLISECONDS = 5_000;
const MINIMUM_ERROR_STATUS = 400;

/** HTTP client of one process's control interface. */
export class ControlClient {
  private readonly peer: HttpPeer;

  /** @param address `IP:port`. */
  constructor(address: string) {
    this.peer = new HttpPeer(`http://${address}`, address);
  }

  /**
   * Sends a JSON value.
   *
   * @throws Error if the response status is 400 or above, or the exchange fails.
   */
  async send(method: string, path: string, value: unknown): Promise<void> {
    await this.exchange(method, path, JSON.stringify(value));
  }

  /**
   * Reads a JSON value; its type is for the caller to assert.
   *
   * @throws Error if the response status is 400 or above, or the exchange fails.
   */
  async read(path: string): Promise<unknown> {
    return JSON.parse(await this.exchange('GET', path));
  }

  /** Returns the status of a GET request, or 0 if the exchange fails. */
  async status(path: string): Promise<number> {
    try {
      const response = await this.peer.exchange({
        step: 'read status',
        method: 'GET',
        path,
        timeouts: {connect: TIMEOUT_MILLISECONDS, total: TIMEOUT_MILLISECONDS},
      });
      return response.status;
    } catch {
      return 0;
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.peer.close();
  }

  private async exchange(
    method: string,
    path: string,
    body?: string,
  ): Promise<string> {
    const response = await this.peer.exchange({
      step: `control ${path}`,
      method,
      path,
      ...(body === undefined ? {} : {body}),
      timeouts: {connect: TIMEOUT_MILLISECONDS, total: TIMEOUT_MILLISECONDS},
    });
    const text = response.body.toString();
    if (response.status >= MINIMUM_ERROR_STATUS) {
      throw new Error(`${method} ${path}: HTTP ${response.status}: ${text}`);
    }
    return text;
  }
}

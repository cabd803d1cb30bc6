import type {DescService} from '@bufbuild/protobuf';
import type {Client} from '@connectrpc/connect';
import {StepError, type HostLink} from '@wisteriadeal/platform';

import {fateOfCall, PeerClients} from './peer-clients.js';

/** A host in another data centre answers in about 10 ms; a frozen one never does. */
const ANSWER_TIMEOUT_MILLISECONDS = 150;

/** Short calls of one service at other hosts. */
export class PeerCalls<Service extends DescService> {
  private readonly clients: PeerClients<Service>;

  /** @param link This host's link; timeouts are longer while it is congested. */
  constructor(
    service: Service,
    private readonly link: HostLink,
    private readonly answerTimeoutMilliseconds = ANSWER_TIMEOUT_MILLISECONDS,
  ) {
    this.clients = new PeerClients(service);
  }

  /**
   * Calls one host.
   *
   * @param step Name of the call, as log lines show it.
   * @throws StepError if no answer came in time.
   */
  async call<Answer>(
    step: string,
    address: string,
    exchange: (
      client: Client<Service>,
      timeoutMilliseconds: number,
    ) => Promise<Answer>,
  ): Promise<Answer> {
    const timeout =
      this.answerTimeoutMilliseconds + this.link.delayMilliseconds;
    try {
      const {client} = this.clients.at(address);
      return await exchange(client, Math.ceil(timeout));
    } catch (error) {
      const reason = String(error);
      throw new StepError(step, address, fateOfCall(error), reason, {
        cause: error,
      });
    }
  }

  /** Closes all connections. */
  close(): void {
    this.clients.close();
  }
}

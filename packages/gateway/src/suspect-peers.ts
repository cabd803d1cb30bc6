import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {StepError, Fate, type HostLink} from '@wisteriadeal/platform';
import {
  CrashSuspectService,
  type SuspectNews,
  type TryAnswer,
} from '@wisteriadeal/schema';
import {Agent} from 'node:http';

/** Client for what other hosts know of suspected requests. */
export abstract class SuspectPeers {
  /**
   * Tells one host what this one knows, and returns what it knows then.
   *
   * @throws StepError if no answer came in time.
   */
  abstract share(address: string, news: SuspectNews): Promise<SuspectNews>;

  /**
   * Asks one host whether a request may be tried.
   *
   * @throws StepError if no answer came in time.
   */
  abstract requestTry(
    address: string,
    request: string,
    known: SuspectNews,
  ): Promise<TryAnswer>;

  /** Closes open connections. */
  abstract close(): void;
}

/** What other hosts ask of this one about suspected requests. */
export abstract class SuspectHolder {
  /** Adds another host's knowledge, and returns the result. */
  abstract receive(news: SuspectNews): SuspectNews;

  /** Decides whether a request may be tried now, for the whole fleet. */
  abstract permitTry(
    request: string,
  ): Pick<TryAnswer, 'isPermitted' | 'waitMilliseconds'>;
}

/** A host in another data centre answers in about 10 ms; a frozen one never does. */
const ANSWER_TIMEOUT_MILLISECONDS = 150;

/** Client over Connect with HTTP/1.1, for the reason given at `ConnectLoanPeers`. */
export class ConnectSuspectPeers extends SuspectPeers {
  private readonly connections = new Agent({keepAlive: true, noDelay: true});
  private readonly clients = new Map<
    string,
    Client<typeof CrashSuspectService>
  >();

  /** @param link This host's link; timeouts are longer while it is congested. */
  constructor(private readonly link: HostLink) {
    super();
  }

  override share(address: string, news: SuspectNews): Promise<SuspectNews> {
    return this.call('share suspects', address, (client, timeoutMs) =>
      client.share(news, {timeoutMs}),
    );
  }

  override requestTry(
    address: string,
    request: string,
    known: SuspectNews,
  ): Promise<TryAnswer> {
    return this.call('request try', address, (client, timeoutMs) =>
      client.requestTry({request, known}, {timeoutMs}),
    );
  }

  override close(): void {
    this.connections.destroy();
  }

  private async call<Answer>(
    step: string,
    address: string,
    exchange: (
      client: Client<typeof CrashSuspectService>,
      timeoutMilliseconds: number,
    ) => Promise<Answer>,
  ): Promise<Answer> {
    const timeout = ANSWER_TIMEOUT_MILLISECONDS + this.link.delayMilliseconds;
    try {
      return await exchange(this.clientOf(address), Math.ceil(timeout));
    } catch (error) {
      const reason = String(error);
      throw new StepError(step, address, Fate.Unknown, reason, {cause: error});
    }
  }

  private clientOf(address: string): Client<typeof CrashSuspectService> {
    let client = this.clients.get(address);
    if (client === undefined) {
      const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: '1.1',
        nodeOptions: {agent: this.connections},
      });
      client = createClient(CrashSuspectService, transport);
      this.clients.set(address, client);
    }
    return client;
  }
}

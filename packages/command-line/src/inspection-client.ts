import {createClient, type Client} from '@connectrpc/connect';
import {
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {Fate, StepError} from '@wisteriadeal/platform';
import {InspectionService} from '@wisteriadeal/schema';

/** A process that does not answer by then is reported as unreachable. */
const CALL_TIMEOUT_MILLISECONDS = 5_000;

/** Asks one process about itself. */
export class InspectionClient {
  private readonly sessionManager: Http2SessionManager;
  private readonly client: Client<typeof InspectionService>;

  /** @param address `IP:port` of the process's control services. */
  constructor(readonly address: string) {
    const baseUrl = `http://${address}`;
    this.sessionManager = new Http2SessionManager(baseUrl);
    this.client = createClient(
      InspectionService,
      createConnectTransport({
        baseUrl,
        httpVersion: '2',
        sessionManager: this.sessionManager,
        defaultTimeoutMs: CALL_TIMEOUT_MILLISECONDS,
      }),
    );
  }

  /**
   * Asks for the state.
   *
   * @param maximumBytes The process cuts lists until the dump fits.
   * @throws StepError when it can't be reached.
   */
  async dump(maximumBytes: number): Promise<unknown> {
    const answer = await this.call('dump', () =>
      this.client.dump({maximumBytes}),
    );
    return JSON.parse(answer.stateJson);
  }

  /** What it knows of a request; undefined where nothing. */
  async explainRequest(requestId: string): Promise<unknown> {
    const answer = await this.call('explain a request', () =>
      this.client.explainRequest({requestId}),
    );
    return answer.known ? JSON.parse(answer.explanationJson) : undefined;
  }

  /** What it knows of a budget; undefined where nothing. */
  async explainBudget(organisation: string): Promise<unknown> {
    const answer = await this.call('explain a budget', () =>
      this.client.explainBudget({organisation}),
    );
    return answer.known ? JSON.parse(answer.explanationJson) : undefined;
  }

  /** Ends the connection. */
  close(): void {
    this.sessionManager.abort();
  }

  private async call<Answer>(
    step: string,
    invoke: () => Promise<Answer>,
  ): Promise<Answer> {
    try {
      return await invoke();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new StepError(step, this.address, Fate.NotDone, reason, {
        cause: error,
      });
    }
  }
}

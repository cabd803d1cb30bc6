import {createClient, type Client} from '@connectrpc/connect';
import {
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {Fate, StepError} from '@wisteriadeal/platform';
import {InspectionService} from '@wisteriadeal/schema';

/**
 * A process that doesn't answer within this time is reported as unreachable.
 */
const CALL_TIMEOUT_MILLISECONDS = 5_000;

/** A client of one process's inspection service. */
export class InspectionClient {
  private readonly sessionManager: Http2SessionManager;
  private readonly client: Client<typeof InspectionService>;

  /** @param address IP address and port of the process's control services. */
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
   * Reads the process's state.
   *
   * @param maximumBytes Size limit; the process truncates lists to fit it.
   * @throws StepError if the process can't be reached.
   */
  async dump(maximumBytes: number): Promise<unknown> {
    const answer = await this.call('dump', () =>
      this.client.dump({maximumBytes}),
    );
    return JSON.parse(answer.stateJson);
  }

  /**
   * Reads what the process has on a request; undefined if nothing.
   *
   * @throws StepError if the process can't be reached.
   */
  async explainRequest(requestId: string): Promise<unknown> {
    const answer = await this.call('explain a request', () =>
      this.client.explainRequest({requestId}),
    );
    return answer.known ? JSON.parse(answer.explanationJson) : undefined;
  }

  /**
   * Reads what the process has on an organisation's budget; undefined if
   * nothing.
   *
   * @throws StepError if the process can't be reached.
   */
  async explainBudget(organisation: string): Promise<unknown> {
    const answer = await this.call('explain a budget', () =>
      this.client.explainBudget({organisation}),
    );
    return answer.known ? JSON.parse(answer.explanationJson) : undefined;
  }

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

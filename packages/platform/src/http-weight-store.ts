import type {HttpServiceOptions} from './http-log-client.js';
import {HttpPeer, toStepError} from './http-peer.js';
import {numberField, parseFields, stringField} from './json-fields.js';
import {Fate, StepError} from './step-error.js';
import {WeightStore, type WeightTicket} from './weight-store.js';

const CREATED = 201;
const TOO_MANY_REQUESTS = 429;

/** The platform's weight store over HTTP. */
export class HttpWeightStore extends WeightStore {
  private readonly peer: HttpPeer;

  /**
   * @example
   * ```ts
   * const store = new HttpWeightStore({url, timeoutMilliseconds: 2_000});
   * ```
   */
  constructor(private readonly options: HttpServiceOptions) {
    super();
    this.peer = new HttpPeer(options.url, options.url);
  }

  override async requestTicket(
    artifact: string,
    signal?: AbortSignal,
  ): Promise<WeightTicket | {readonly retryAfterMilliseconds: number}> {
    const step = 'request a weight ticket';
    const limit = this.options.timeoutMilliseconds;
    const response = await this.peer.exchange({
      step,
      method: 'POST',
      path: `/weights/${encodeURIComponent(artifact)}/tickets`,
      timeouts: {connect: limit, total: limit},
      signal,
    });
    try {
      const fields = () => parseFields(response.body.toString());
      switch (response.status) {
        case CREATED:
          return {ticket: stringField(fields(), 'ticket')};
        case TOO_MANY_REQUESTS: {
          const wait = numberField(fields(), 'retryAfterMilliseconds');
          return {retryAfterMilliseconds: wait};
        }
        default:
          throw new StepError(
            step,
            this.peer.peer,
            Fate.Unknown,
            `HTTP ${response.status}`,
          );
      }
    } catch (error) {
      throw toStepError(step, this.peer.peer, error);
    }
  }

  override close(): Promise<void> {
    return this.peer.close();
  }
}

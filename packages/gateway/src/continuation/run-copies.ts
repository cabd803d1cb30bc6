import {TokenPace} from '@wisteriadeal/decisions';

/** What a host knows of the copies of its runs. */
export class RunCopies {
  /** @param isEnabled Whether runs are copied while they grow. */
  constructor(readonly isEnabled: boolean) {}

  private readonly tokens = new Map<string, number>();
  private readonly paces = new Map<string, TokenPace>();

  /** Tokens of this host's copies at an endpoint. */
  tokensAt(endpointId: string): number {
    return this.tokens.get(endpointId) ?? 0;
  }

  /**
   * Records that a run is copied to an endpoint.
   *
   * @returns Ends the record; to be called once.
   */
  add(endpointId: string, tokens: number): () => void {
    this.tokens.set(endpointId, this.tokensAt(endpointId) + tokens);
    return () => {
      const left = this.tokensAt(endpointId) - tokens;
      if (left > 0) {
        this.tokens.set(endpointId, left);
      } else {
        this.tokens.delete(endpointId);
      }
    };
  }

  /** Pace of a service's engines, as this host saw it. */
  paceOf(service: string): TokenPace {
    const pace = this.paces.get(service) ?? new TokenPace();
    this.paces.set(service, pace);
    return pace;
  }
}

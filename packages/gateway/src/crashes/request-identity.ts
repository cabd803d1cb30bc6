import {partSubject} from '@wisteriadeal/decisions';

import type {CallerExchange} from '../caller-exchange.js';
import {digestOf} from '../digest.js';

const DIGEST_BYTES = 12;

/**
 * Identifies what a caller asks for, whatever the attempt: the same method,
 * target, caller and body give the same digest. Neither can be found out from it.
 */
export class RequestIdentity {
  private computedDigest: string | undefined;
  private computedParts: readonly string[] | undefined;

  constructor(
    private readonly caller: CallerExchange,
    private readonly body: Buffer | undefined,
  ) {}

  /** Computed when it is first asked for, since bodies are long. */
  get digest(): string {
    this.computedDigest ??= this.computeDigest();
    return this.computedDigest;
  }

  /**
   * The parts that its prompt shares with others, as subjects of crashes. The last
   * part of a prompt is the request's own. Neither the caller nor the service matters:
   * a part that endpoints can't answer ends them whoever sends it.
   */
  get parts(): readonly string[] {
    this.computedParts ??= this.caller.headers.promptParts
      .slice(0, -1)
      .map(({id}) => partSubject(id));
    return this.computedParts;
  }

  /** What may be held responsible for a crash: the digest, then the shared parts. */
  get subjects(): readonly string[] {
    return [this.digest, ...this.parts];
  }

  private computeDigest(): string {
    const {method, target, headers} = this.caller;
    return digestOf(
      [method, target, headers.host, headers.key ?? ''],
      DIGEST_BYTES,
      this.body,
    );
  }
}

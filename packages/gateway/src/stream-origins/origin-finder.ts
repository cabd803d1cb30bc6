import type {StreamOriginAnswer} from '@wisteriadeal/schema';

import {CallBatches} from './call-batches.js';
import type {OriginQuery} from './stream-origin-peers.js';

/**
 * Asks other hosts for the origins of streams, of several in one call: the streams of a
 * host that has ended are taken up all at once, and each asks the same hosts.
 */
export class OriginFinder {
  private readonly batches: CallBatches<
    OriginQuery,
    readonly StreamOriginAnswer[]
  >;

  /** @param ask Asks one host; resolves with an answer for each query, in their order. */
  constructor(
    ask: (
      address: string,
      queries: readonly OriginQuery[],
    ) => Promise<readonly StreamOriginAnswer[]>,
  ) {
    this.batches = new CallBatches(ask);
  }

  /**
   * Resolves with what a host knows of a stream.
   *
   * @throws RangeError if the host left the query out of its answers, or what `ask` throws.
   */
  async find(address: string, query: OriginQuery): Promise<StreamOriginAnswer> {
    const {index, result} = this.batches.add(address, query);
    const answer = (await result)[index];
    if (answer === undefined) {
      throw new RangeError(`${address} did not answer all queries`);
    }
    return answer;
  }
}

import type {StreamOriginAnswer} from '@wisteriadeal/schema';

import type {OriginQuery} from './stream-origin-peers.js';

/** Queries for the same host that follow each other so closely make one call. */
const BATCH_MILLISECONDS = 2;

interface Batch {
  readonly queries: OriginQuery[];
  readonly answers: Promise<readonly StreamOriginAnswer[]>;
}

/**
 * Asks other hosts for the origins of streams, of several in one call: the streams of a
 * host that has ended are taken up all at once, and each asks the same hosts.
 */
export class OriginFinder {
  private readonly batches = new Map<string, Batch>();

  /** @param ask Asks one host; resolves with an answer for each query, in their order. */
  constructor(
    private readonly ask: (
      address: string,
      queries: readonly OriginQuery[],
    ) => Promise<readonly StreamOriginAnswer[]>,
  ) {}

  /**
   * Resolves with what a host knows of a stream.
   *
   * @throws RangeError if the host left the query out of its answers, or what `ask` throws.
   */
  async find(address: string, query: OriginQuery): Promise<StreamOriginAnswer> {
    let batch = this.batches.get(address);
    if (batch === undefined) {
      const queries: OriginQuery[] = [];
      batch = {queries, answers: this.askSoon(address, queries)};
      this.batches.set(address, batch);
    }
    const index = batch.queries.push(query) - 1;
    const answer = (await batch.answers)[index];
    if (answer === undefined) {
      throw new RangeError(`${address} did not answer all queries`);
    }
    return answer;
  }

  private async askSoon(
    address: string,
    queries: readonly OriginQuery[],
  ): Promise<readonly StreamOriginAnswer[]> {
    await new Promise(resolve => setTimeout(resolve, BATCH_MILLISECONDS));
    this.batches.delete(address);
    return this.ask(address, queries);
  }
}

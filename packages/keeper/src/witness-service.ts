import {create} from '@bufbuild/protobuf';
import {BookChangeResult, type WitnessBook} from '@wisteriadeal/ledger';
import {
  WitnessMessageSchema,
  type HolderMessage,
  type ProcessIdentity,
  type ReplicateBatch,
  type WitnessMessage,
} from '@wisteriadeal/schema';

/**
 * Applies changes of other keepers' books to the witness's book, and
 * acknowledges them.
 */
export class WitnessService {
  private servedStreams = 0;

  constructor(
    private readonly self: ProcessIdentity,
    private readonly book: WitnessBook,
  ) {}

  /** Serves the stream of one holder until it ends. */
  async *replicate(
    messages: AsyncIterable<HolderMessage>,
  ): AsyncGenerator<WitnessMessage> {
    // Holders that do not number their streams are told apart by arrival.
    const arrivalNumber = ++this.servedStreams;
    for await (const message of messages) {
      if (message.kind.case === 'hello') {
        yield create(WitnessMessageSchema, {
          kind: {case: 'welcome', value: this.self},
        });
      } else if (message.kind.case === 'batch') {
        const batch = message.kind.value;
        yield this.apply(batch, batch.streamNumber || arrivalNumber);
      }
    }
  }

  private apply(batch: ReplicateBatch, streamNumber: number): WitnessMessage {
    const fencedGrants = new Set<string>();
    const unknownGrants = new Set<string>();
    for (const change of batch.changes) {
      const result = this.book.apply(change, streamNumber);
      if (result !== BookChangeResult.Applied) {
        // Unknown grants are listed here as well: holders of an older version
        // read only this list, and treat a grant that is not on it as
        // acknowledged.
        fencedGrants.add(change.grantId);
      }
      if (result === BookChangeResult.Unknown) {
        unknownGrants.add(change.grantId);
      }
    }
    return create(WitnessMessageSchema, {
      kind: {
        case: 'answer',
        value: {
          sequence: batch.sequence,
          fencedGrants: [...fencedGrants],
          unknownGrants: [...unknownGrants],
        },
      },
    });
  }
}

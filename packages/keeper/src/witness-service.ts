import {create} from '@bufbuild/protobuf';
import {BookChangeResult, type WitnessBook} from '@wisteriadeal/ledger';
import {
  WitnessMessageSchema,
  type HolderMessage,
  type ProcessIdentity,
  type ReplicateBatch,
  type WitnessMessage,
} from '@wisteriadeal/schema';

/** Acknowledges the changes of other keepers' books. */
export class WitnessService {
  constructor(
    private readonly self: ProcessIdentity,
    private readonly book: WitnessBook,
  ) {}

  /** Serves one holder until its stream ends. */
  async *replicate(
    messages: AsyncIterable<HolderMessage>,
  ): AsyncGenerator<WitnessMessage> {
    for await (const message of messages) {
      if (message.kind.case === 'hello') {
        yield create(WitnessMessageSchema, {
          kind: {case: 'welcome', value: this.self},
        });
      } else if (message.kind.case === 'batch') {
        yield this.apply(message.kind.value);
      }
    }
  }

  private apply(batch: ReplicateBatch): WitnessMessage {
    const fencedGrants = new Set<string>();
    const unknownGrants = new Set<string>();
    for (const change of batch.changes) {
      const result = this.book.apply(change);
      if (result !== BookChangeResult.Applied) {
        // Also the unknown ones: an older holder reads no other list, and takes a
        // grant that is in none for acknowledged.
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

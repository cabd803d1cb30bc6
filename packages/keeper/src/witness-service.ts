import {create} from '@bufbuild/protobuf';
import type {WitnessBook} from '@wisteriadeal/ledger';
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
    for (const change of batch.changes) {
      if (!this.book.apply(change)) {
        fencedGrants.add(change.grantId);
      }
    }
    return create(WitnessMessageSchema, {
      kind: {
        case: 'answer',
        value: {sequence: batch.sequence, fencedGrants: [...fencedGrants]},
      },
    });
  }
}

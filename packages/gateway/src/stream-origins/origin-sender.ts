import type {EventLog} from '@wisteriadeal/runtime';
import type {StreamOriginRecord} from '@wisteriadeal/schema';

import type {StreamOriginPeers} from './stream-origin-peers.js';

/** Records for the same host that follow each other so closely make one message. */
const BATCH_MILLISECONDS = 2;

interface Batch {
  readonly records: StreamOriginRecord[];
  /** Resolves with whether the host has the records. */
  readonly sent: Promise<boolean>;
}

/** Sends records to other hosts, several in one message. */
export class OriginSender {
  private readonly batches = new Map<string, Batch>();

  constructor(
    private readonly peers: StreamOriginPeers,
    private readonly events: EventLog,
  ) {}

  /** Resolves with whether the host has the record. */
  send(address: string, record: StreamOriginRecord): Promise<boolean> {
    let batch = this.batches.get(address);
    if (batch === undefined) {
      const records: StreamOriginRecord[] = [];
      batch = {records, sent: this.sendSoon(address, records)};
      this.batches.set(address, batch);
    }
    batch.records.push(record);
    return batch.sent;
  }

  private async sendSoon(
    address: string,
    records: readonly StreamOriginRecord[],
  ): Promise<boolean> {
    await new Promise(resolve => setTimeout(resolve, BATCH_MILLISECONDS));
    this.batches.delete(address);
    try {
      await this.peers.record(address, records);
      return true;
    } catch (error) {
      this.events.info('stream origins not told', {
        address,
        records: records.length,
        reason: String(error),
      });
      return false;
    }
  }
}

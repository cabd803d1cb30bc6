import type {EventLog} from '@wisteriadeal/runtime';
import type {StreamOriginRecord} from '@wisteriadeal/schema';

import {CallBatches} from './call-batches.js';
import type {StreamOriginPeers} from './stream-origin-peers.js';

/** Sends records to other hosts, several in one message. */
export class OriginSender {
  private readonly batches = new CallBatches<StreamOriginRecord, boolean>(
    (address, records) => this.sendAll(address, records),
  );

  constructor(
    private readonly peers: StreamOriginPeers,
    private readonly events: EventLog,
  ) {}

  /** Resolves with whether the host has the record. */
  send(address: string, record: StreamOriginRecord): Promise<boolean> {
    return this.batches.add(address, record).result;
  }

  private async sendAll(
    address: string,
    records: readonly StreamOriginRecord[],
  ): Promise<boolean> {
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

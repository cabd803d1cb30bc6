import {fromBinary, toJson} from '@bufbuild/protobuf';
import type {LogClient} from '@wisteriadeal/platform';
import {
  LedgerBatchSchema,
  LedgerEntrySchema,
  type LedgerEntry,
} from '@wisteriadeal/schema';

const PAGE_RECORDS = 500;

/** An entry of the ledger that concerns a request. */
export interface RequestEntry {
  readonly stream: string;
  readonly offset: number;
  /** Such as `bill` or `claim`. */
  readonly kind: string;
  readonly value: unknown;
}

function refersToRequest({kind}: LedgerEntry, requestId: string): boolean {
  switch (kind.case) {
    case 'bill':
    case 'claim':
      return kind.value.requestId === requestId;
    case 'writeAhead':
      return kind.value.reservation?.requestId === requestId;
    case 'reclaim':
      return (
        kind.value.openReservations.some(
          open => open.requestId === requestId,
        ) || kind.value.settled.some(bill => bill.requestId === requestId)
      );
    default:
      return false;
  }
}

function decodeMatchingEntries(
  stream: string,
  offset: number,
  payload: Uint8Array,
  requestId: string,
): RequestEntry[] {
  return fromBinary(LedgerBatchSchema, payload)
    .entries.filter(entry => refersToRequest(entry, requestId))
    .map(entry => ({
      stream,
      offset,
      kind: entry.kind.case ?? '',
      value: toJson(LedgerEntrySchema, entry),
    }));
}

/**
 * Searches what the log still keeps for entries of a request. The organisation
 * is not part of an identifier, so every ledger stream is read.
 *
 * @throws StepError when the log can't be read.
 */
export async function findRequestEntries(
  log: LogClient,
  ledgerStreams: number,
  requestId: string,
): Promise<readonly RequestEntry[]> {
  const found: RequestEntry[] = [];
  for (let index = 0; index < ledgerStreams; index++) {
    const stream = `ledger-${index}`;
    let position = 0;
    let end = 1;
    while (position < end) {
      const page = await log.read(stream, position, PAGE_RECORDS, 0);
      for (const {offset, payload} of page.records) {
        found.push(
          ...decodeMatchingEntries(stream, offset, payload, requestId),
        );
      }
      position = page.nextOffset;
      end = page.endOffset;
    }
  }
  return found;
}

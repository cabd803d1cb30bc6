import {fromBinary, toJson} from '@bufbuild/protobuf';
import type {LogClient} from '@wisteriadeal/platform';
import {
  LedgerBatchSchema,
  LedgerEntrySchema,
  type LedgerEntry,
} from '@wisteriadeal/schema';

const PAGE_RECORDS = 500;

/** A ledger entry that refers to a request. */
export interface RequestEntry {
  readonly stream: string;
  readonly offset: number;
  /** The entry's case, such as `bill` or `claim`. */
  readonly kind: string;
  /** The whole entry as JSON. */
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
 * Searches the records that the log still keeps for entries that refer to a
 * request. A request identifier doesn't contain the organisation, so every
 * ledger stream is read.
 *
 * @throws StepError if the log can't be read.
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

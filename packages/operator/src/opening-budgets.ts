import {create, toBinary} from '@bufbuild/protobuf';
import {ledgerStreamOf, openingEntryId} from '@wisteriadeal/ledger';
import type {Clock, LogClient} from '@wisteriadeal/platform';
import {
  LedgerBatchSchema,
  LedgerEntrySchema,
  type LedgerEntry,
  type Organisation,
} from '@wisteriadeal/schema';

import {appendUntilDecided, type AppendPatience} from './confirmed-append.js';
import {ledgerReader} from './fold-sources.js';

/** Entries per record: about 30 KB, well below a log's usual record limit. */
const ENTRIES_PER_RECORD = 250;

/** Organisations whose opening budgets are credited, and how. */
export interface OpeningBudgets {
  readonly operator: string;
  /** Number of ledger streams of the fleet. */
  readonly ledgerStreams: number;
  readonly organisations: readonly Organisation[];
  readonly patience: AppendPatience;
}

function openingEntry(organisation: Organisation, operator: string) {
  return create(LedgerEntrySchema, {
    entryId: openingEntryId(organisation.name),
    organisation: organisation.name,
    kind: {
      case: 'topUp',
      value: {
        tokens: organisation.openingBudgetTokens,
        operator,
        reason: 'opening budget',
      },
    },
  });
}

function entriesByStream(
  openings: OpeningBudgets,
): ReadonlyMap<string, LedgerEntry[]> {
  const byStream = new Map<string, LedgerEntry[]>();
  const organisationsWithBudget = openings.organisations.filter(
    organisation => organisation.openingBudgetTokens > 0,
  );
  for (const organisation of organisationsWithBudget) {
    const stream = ledgerStreamOf(organisation.name, openings.ledgerStreams);
    const entries = byStream.get(stream) ?? [];
    entries.push(openingEntry(organisation, openings.operator));
    byStream.set(stream, entries);
  }
  return byStream;
}

async function creditStream(
  log: LogClient,
  clock: Clock,
  openings: OpeningBudgets,
  stream: string,
  entries: readonly LedgerEntry[],
): Promise<void> {
  const reader = ledgerReader(log, stream);
  for (
    let chunkStart = 0;
    chunkStart < entries.length;
    chunkStart += ENTRIES_PER_RECORD
  ) {
    const chunk = entries.slice(chunkStart, chunkStart + ENTRIES_PER_RECORD);
    const batch = create(LedgerBatchSchema, {
      writer: `operator/${openings.operator}`,
      entries: chunk,
    });
    await appendUntilDecided({
      log,
      clock,
      reader,
      payload: toBinary(LedgerBatchSchema, batch),
      patience: openings.patience,
      isDecided: fold =>
        chunk.every(entry => fold.hasSeen(entry.organisation, entry.entryId)),
    });
  }
}

/**
 * Credits the opening budgets of organisations that are new in a configuration.
 * Keepers also credit an opening budget that they find missing. Both use the
 * same entry identifier, so each is credited once, whichever appends first.
 *
 * @throws StepError if a stream can't be appended to; it is safe to repeat.
 */
export async function creditOpeningBudgets(
  log: LogClient,
  clock: Clock,
  openings: OpeningBudgets,
): Promise<void> {
  for (const [stream, entries] of entriesByStream(openings)) {
    await creditStream(log, clock, openings, stream, entries);
  }
}

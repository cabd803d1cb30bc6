import {create, toBinary} from '@bufbuild/protobuf';
import {ledgerStreamOf} from '@wisteriadeal/ledger';
import {LedgerBatchSchema} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {
  releaseStrandedGrant,
  StrandedReleaseOutcome,
} from '../stranded-release.js';
import {topUp} from '../top-up.js';
import {LEDGER_STREAMS, createMemoryLog, PATIENCE, settle} from './fixtures.js';

const ORGANISATION = 'kigali-bar-school';

/** Creates a budget of 500 tokens, 200 of them in the grant `g1`. */
async function createStrandedGrant() {
  const memoryLog = createMemoryLog();
  const {log, clock} = memoryLog;
  await topUp(log, clock, {
    organisation: ORGANISATION,
    tokens: 500,
    entryId: 'invoice-1',
    operator: 'aline',
    reason: 'invoice',
    ledgerStreams: LEDGER_STREAMS,
    patience: PATIENCE,
  });
  const batch = create(LedgerBatchSchema, {
    writer: 'h1/keeper/1',
    entries: [
      {
        entryId: 'grant:g1',
        organisation: ORGANISATION,
        kind: {
          case: 'grant',
          value: {
            grantId: 'g1',
            tokens: 200,
            minimumTokens: 1,
            holder: 'h1/keeper/1',
            witness: 'h2/keeper/1',
          },
        },
      },
    ],
  });
  const stream = ledgerStreamOf(ORGANISATION, LEDGER_STREAMS);
  await log.append(stream, toBinary(LedgerBatchSchema, batch));
  const release = (grantId: string) =>
    settle(
      clock,
      releaseStrandedGrant(log, clock, {
        organisation: ORGANISATION,
        grantId,
        operator: 'aline',
        reason: 'rack 4 burnt',
        ledgerStreams: LEDGER_STREAMS,
        patience: PATIENCE,
      }),
    );
  return {...memoryLog, release};
}

describe('releaseStrandedGrant', () => {
  // Holder and witness are destroyed. The operator releases the grant, the
  // response is lost, and the operator runs the command again. The 200 tokens
  // must return once; twice would make the budget 700 tokens.
  it('returns the remaining tokens once although responses are lost', async () => {
    const {store, release} = await createStrandedGrant();
    store.faults.answersToLose = 2;
    expect(await release('g1')).toEqual({
      outcome: StrandedReleaseOutcome.Released,
      unallocatedTokens: 500,
    });
    expect(await release('g1')).toEqual({
      outcome: StrandedReleaseOutcome.AlreadyClosed,
      unallocatedTokens: 500,
    });
  });

  it('appends nothing for a grant that is not in the ledger', async () => {
    const {store, release} = await createStrandedGrant();
    const stream = ledgerStreamOf(ORGANISATION, LEDGER_STREAMS);
    const before = store.endOffset(stream);
    expect(await release('g2')).toMatchObject({
      outcome: StrandedReleaseOutcome.UnknownGrant,
    });
    expect(store.endOffset(stream)).toBe(before);
  });
});

import {create, toBinary} from '@bufbuild/protobuf';
import {ledgerStreamOf, SUPPORTED_SCHEMA_REVISION} from '@wisteriadeal/ledger';
import {Fate, StepError} from '@wisteriadeal/platform';
import {ConfigurationRecordSchema} from '@wisteriadeal/schema';
import {MemoryLog} from '@wisteriadeal/stand-ins';
import {describe, expect, it} from 'vitest';

import {CONFIGURATION_STREAM, ledgerReader} from '../fold-sources.js';
import {
  publishConfiguration,
  PublicationOutcome,
  readConfiguration,
  type PublicationRequest,
  type PublicationResult,
} from '../publication.js';
import {
  configurationWith,
  LEDGER_STREAMS,
  createMemoryLog,
  PATIENCE,
  settle,
} from './fixtures.js';

function request(
  publicationId: string,
  baseVersion: number,
  ...organisations: string[]
): PublicationRequest {
  return {
    configuration: configurationWith(...organisations),
    publicationId,
    baseVersion,
    operator: `operator of ${publicationId}`,
    ledgerStreams: LEDGER_STREAMS,
    patience: PATIENCE,
  };
}

function readCreditedTokens(
  log: MemoryLog,
  organisation: string,
): Promise<number> {
  const stream = ledgerStreamOf(organisation, LEDGER_STREAMS);
  return ledgerReader(log, stream)
    .readToEnd()
    .then(fold => fold.totals(organisation).creditedTokens);
}

describe('publishConfiguration', () => {
  it('publishes a configuration and credits opening budgets once', async () => {
    const {clock, log} = createMemoryLog();
    const first = await publishConfiguration(log, clock, request('p1', 0, 'a'));
    const second = await publishConfiguration(
      log,
      clock,
      request('p2', 1, 'a', 'b'),
    );
    expect([first.outcome, second.outcome, second.version]).toEqual([
      PublicationOutcome.Accepted,
      PublicationOutcome.Accepted,
      2,
    ]);
    expect(await readCreditedTokens(log, 'a')).toBe(1_000);
    expect(await readCreditedTokens(log, 'b')).toBe(1_000);
  });

  // Two operators publish from version 0 at the same time, and both appends
  // succeed. If the response to the append were the verdict, both would be told
  // of success and one change would be lost without notice.
  it('accepts one of two concurrent publications and names its operator', async () => {
    const {clock, store, log} = createMemoryLog();
    const other = new MemoryLog(store, clock);
    const results = await Promise.all([
      publishConfiguration(log, clock, request('p1', 0, 'a')),
      publishConfiguration(other, clock, request('p2', 0, 'b')),
    ]);
    const resultsWith = (outcome: PublicationOutcome) =>
      results.filter(result => result.outcome === outcome);
    expect(resultsWith(PublicationOutcome.Accepted)).toHaveLength(1);
    const [overtaken] = resultsWith(PublicationOutcome.Overtaken);
    const [accepted] = resultsWith(PublicationOutcome.Accepted);
    expect(overtaken?.version).toBe(1);
    expect(overtaken?.operatorInForce).toBe(
      `operator of ${accepted?.publicationId ?? ''}`,
    );
    const overtakenOrganisation = overtaken?.publicationId === 'p1' ? 'a' : 'b';
    expect(await readCreditedTokens(log, overtakenOrganisation)).toBe(0);
  });

  // The log stores the record and its response is lost, several times in a row.
  // The publisher reads the log before it appends again, and the fold ignores
  // copies with the same identifier, so there is one acceptance.
  it('publishes once although responses of the log are lost', async () => {
    const {clock, store, log} = createMemoryLog();
    store.faults.answersToLose = 3;
    const result = await settle(
      clock,
      publishConfiguration(log, clock, request('p1', 0, 'a')),
    );
    expect((result as PublicationResult).outcome).toBe(
      PublicationOutcome.Accepted,
    );
    expect(store.endOffset(CONFIGURATION_STREAM)).toBe(1);
    expect((await readConfiguration(log)).version).toBe(1);
    expect(await readCreditedTokens(log, 'a')).toBe(1_000);
  });

  // The publisher loses its connection to the log after the append, before it
  // read the verdict. It reports fate Unknown; a repeat with the same
  // identifier finds the verdict and changes nothing.
  it('reports fate Unknown, and a repeat finds the verdict', async () => {
    const {clock, store, log} = createMemoryLog();
    const append = log.append.bind(log);
    log.append = async (stream, payload) => {
      const offset = await append(stream, payload);
      store.faults.outage = true;
      return offset;
    };
    const failure = await settle(
      clock,
      publishConfiguration(log, clock, request('p1', 0, 'a')),
    );
    expect(failure).toBeInstanceOf(StepError);
    expect((failure as StepError).fate).toBe(Fate.Unknown);
    store.faults.outage = false;
    log.append = append;
    const repeated = await publishConfiguration(
      log,
      clock,
      request('p1', 0, 'a'),
    );
    expect(repeated.outcome).toBe(PublicationOutcome.Accepted);
    expect(repeated.version).toBe(1);
    expect(await readCreditedTokens(log, 'a')).toBe(1_000);
  });

  // The log is unreachable until the time limit. Nothing was appended, and the
  // operator must be told so: the publication can't take effect later.
  it('reports fate NotDone when the log was never reached', async () => {
    const {clock, store, log} = createMemoryLog();
    store.faults.outage = true;
    const failure = await settle(
      clock,
      publishConfiguration(log, clock, request('p1', 0, 'a')),
    );
    expect((failure as StepError).fate).toBe(Fate.NotDone);
    expect(store.endOffset(CONFIGURATION_STREAM)).toBe(0);
  });

  // A newer library publishes a configuration of a schema revision that this
  // binary doesn't support. Skipping unknown parts would apply half of it; the
  // fold rejects all of it, and the previous version stays in force.
  it('rejects a configuration of a newer schema revision as a whole', async () => {
    const {clock, log} = createMemoryLog();
    await publishConfiguration(log, clock, request('p1', 0, 'a'));
    const newerRequest = request('p2', 1, 'a', 'b');
    newerRequest.configuration.schemaRevision = SUPPORTED_SCHEMA_REVISION + 1;
    const result = await publishConfiguration(log, clock, newerRequest);
    expect(result.outcome).toBe(PublicationOutcome.Invalid);
    expect(result.reason).toContain('schemaRevision');
    await log.append(
      CONFIGURATION_STREAM,
      toBinary(
        ConfigurationRecordSchema,
        create(ConfigurationRecordSchema, {
          kind: {case: 'publication', value: newerRequest},
        }),
      ),
    );
    const fold = await readConfiguration(log);
    expect(fold.version).toBe(1);
    expect(fold.configuration?.organisations).toHaveLength(1);
  });

  // Three versions are published, a checkpoint is written, and all older
  // records expire. A new reader must reach version 3 instead of starting from
  // an empty state, and a delayed copy of an old publication must not revert
  // it.
  it('starts from a checkpoint once the first records have expired', async () => {
    const {clock, store, log} = createMemoryLog();
    await publishConfiguration(log, clock, request('p1', 0, 'a'));
    const [first] = store.records(CONFIGURATION_STREAM);
    await publishConfiguration(log, clock, request('p2', 1, 'a', 'b'));
    await publishConfiguration(log, clock, request('p3', 2, 'b'));
    const checkpoint = (await readConfiguration(log)).toCheckpoint();
    store.faults.retentionRecords = 2;
    await log.append(CONFIGURATION_STREAM, first?.payload ?? new Uint8Array());
    await log.append(
      CONFIGURATION_STREAM,
      toBinary(
        ConfigurationRecordSchema,
        create(ConfigurationRecordSchema, {
          kind: {case: 'checkpoint', value: checkpoint},
        }),
      ),
    );
    const fold = await readConfiguration(log);
    expect(fold.version).toBe(3);
    expect(fold.configuration?.organisations.map(({name}) => name)).toEqual([
      'b',
    ]);
  });

  // The first records have expired and there is no checkpoint. The remaining
  // ones would fold to version 1 again, so reading must fail.
  it('fails to read a stream whose first records have expired without a checkpoint', async () => {
    const {clock, store, log} = createMemoryLog();
    await publishConfiguration(log, clock, request('p1', 0, 'a'));
    store.faults.retentionRecords = 1;
    await publishConfiguration(log, clock, request('p2', 1, 'b'));
    await expect(readConfiguration(log)).rejects.toThrow('no checkpoint');
  });
});

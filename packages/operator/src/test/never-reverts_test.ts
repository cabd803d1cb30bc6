import {create, toBinary} from '@bufbuild/protobuf';
import {fc, it} from '@fast-check/vitest';
import {ConfigurationRecordSchema} from '@wisteriadeal/schema';
import {MemoryLog} from '@wisteriadeal/stand-ins';
import {describe, expect} from 'vitest';

import {CONFIGURATION_STREAM} from '../fold-sources.js';
import {
  publishConfiguration,
  PublicationOutcome,
  readConfiguration,
} from '../publication.js';
import {
  configurationWith,
  LEDGER_STREAMS,
  createMemoryLog,
  PATIENCE,
  settle,
} from './fixtures.js';

enum LogEvent {
  /** Two operators publish concurrently from the same base version. */
  Race = 'race',
  /**
   * Every retained record is appended again, as by retries after lost
   * responses.
   */
  DelayedDuplicates = 'delayed-duplicates',
  /** The log's next two responses are lost. */
  LostResponses = 'lost-responses',
  /** A checkpoint is written and all records before it expire. */
  Expiry = 'expiry',
  /** A record that can't be decoded is appended. */
  UndecodableRecord = 'undecodable-record',
}

class PublicationScenario {
  private readonly fixture = createMemoryLog();
  /** Publications whose outcome was Accepted. */
  readonly acceptedPublicationIds: string[] = [];
  private publicationCount = 0;

  async simulate(event: LogEvent): Promise<void> {
    const {log, store} = this.fixture;
    store.faults.retentionRecords = undefined;
    switch (event) {
      case LogEvent.Race: {
        const {version} = await this.readFold();
        await Promise.all([this.publish(version), this.publish(version)]);
        return;
      }
      case LogEvent.DelayedDuplicates:
        store.faults.answersToLose = 0;
        for (const {payload} of [...store.records(CONFIGURATION_STREAM)]) {
          await log.append(CONFIGURATION_STREAM, payload);
        }
        return;
      case LogEvent.LostResponses:
        store.faults.answersToLose = 2;
        return;
      case LogEvent.Expiry:
        store.faults.answersToLose = 0;
        store.faults.retentionRecords = 1;
        await this.appendCheckpoint();
        return;
      case LogEvent.UndecodableRecord:
        store.faults.answersToLose = 0;
        await log.append(CONFIGURATION_STREAM, Buffer.from('not a record'));
    }
  }

  readFold() {
    return readConfiguration(
      new MemoryLog(this.fixture.store, this.fixture.clock),
    );
  }

  private async publish(baseVersion: number): Promise<void> {
    const {clock, store} = this.fixture;
    const publicationId = `p${this.publicationCount++}`;
    const log = new MemoryLog(store, clock);
    const publication = publishConfiguration(log, clock, {
      configuration: configurationWith(`org-of-${publicationId}`),
      publicationId,
      baseVersion,
      operator: publicationId,
      ledgerStreams: LEDGER_STREAMS,
      patience: PATIENCE,
    });
    const result = await settle(clock, publication);
    if (
      !(result instanceof Error) &&
      result.outcome === PublicationOutcome.Accepted
    ) {
      this.acceptedPublicationIds.push(publicationId);
    }
  }

  private async appendCheckpoint(): Promise<void> {
    const value = (await this.readFold()).toCheckpoint();
    const record = create(ConfigurationRecordSchema, {
      kind: {case: 'checkpoint', value},
    });
    await this.fixture.log.append(
      CONFIGURATION_STREAM,
      toBinary(ConfigurationRecordSchema, record),
    );
  }
}

describe('the configuration in force', () => {
  // Races, delayed duplicates, lost responses, expired records and undecodable
  // records, in any order. A new process that reads the log after each of them
  // must see the version rise by one per race and never a different
  // configuration under the same version; otherwise the fleet would revert to
  // an older configuration.
  it.prop(
    [fc.array(fc.constantFrom(...Object.values(LogEvent)), {maxLength: 12})],
    {
      seed: 41,
      numRuns: 60,
    },
  )('rises by one version per race and never reverts', async events => {
    const scenario = new PublicationScenario();
    let raceCount = 0;
    let previousOrganisation = '';
    for (const event of events) {
      await scenario.simulate(event);
      const fold = await scenario.readFold();
      raceCount += event === LogEvent.Race ? 1 : 0;
      expect(fold.version).toBe(raceCount);
      expect(scenario.acceptedPublicationIds).toHaveLength(raceCount);
      for (const publicationId of scenario.acceptedPublicationIds) {
        expect(fold.verdict(publicationId)?.accepted).toBe(true);
      }
      const organisation = fold.configuration?.organisations[0]?.name ?? '';
      if (event !== LogEvent.Race) {
        expect(organisation).toBe(previousOrganisation);
      }
      previousOrganisation = organisation;
    }
  });
});

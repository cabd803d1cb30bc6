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
  logInMemory,
  PATIENCE,
  settled,
} from './fixtures.js';

enum Event {
  /** Two operators publish from the same version at once. */
  Race = 'race',
  /** Copies of all records kept come late, as after lost answers. */
  LateCopies = 'late-copies',
  /** The next two answers of the log are lost. */
  LostAnswers = 'lost-answers',
  /** A checkpoint is written and everything before it expires. */
  Expiry = 'expiry',
  /** A record that nobody understands is appended. */
  ForeignRecord = 'foreign-record',
}

class Operators {
  private readonly world = logInMemory();
  /** Publications whose operators were told that they are in force. */
  readonly accepted: string[] = [];
  private minted = 0;

  async happens(event: Event): Promise<void> {
    const {log, store} = this.world;
    store.faults.retentionRecords = undefined;
    switch (event) {
      case Event.Race: {
        const {version} = await this.read();
        await Promise.all([this.publish(version), this.publish(version)]);
        return;
      }
      case Event.LateCopies:
        store.faults.loseAnswers = 0;
        for (const {payload} of [...store.records(CONFIGURATION_STREAM)]) {
          await log.append(CONFIGURATION_STREAM, payload);
        }
        return;
      case Event.LostAnswers:
        store.faults.loseAnswers = 2;
        return;
      case Event.Expiry:
        store.faults.loseAnswers = 0;
        store.faults.retentionRecords = 1;
        await this.checkpoint();
        return;
      case Event.ForeignRecord:
        store.faults.loseAnswers = 0;
        await log.append(CONFIGURATION_STREAM, Buffer.from('not a record'));
    }
  }

  read() {
    return readConfiguration(new MemoryLog(this.world.store, this.world.clock));
  }

  private async publish(baseVersion: number): Promise<void> {
    const {clock, store} = this.world;
    const publicationId = `p${this.minted++}`;
    const log = new MemoryLog(store, clock);
    const publication = publishConfiguration(log, clock, {
      configuration: configurationWith(`org-of-${publicationId}`),
      publicationId,
      baseVersion,
      operator: publicationId,
      ledgerStreams: LEDGER_STREAMS,
      patience: PATIENCE,
    });
    const result = await settled(clock, publication);
    if (
      !(result instanceof Error) &&
      result.outcome === PublicationOutcome.Accepted
    ) {
      this.accepted.push(publicationId);
    }
  }

  private async checkpoint(): Promise<void> {
    const value = (await this.read()).toCheckpoint();
    const record = create(ConfigurationRecordSchema, {
      kind: {case: 'checkpoint', value},
    });
    await this.world.log.append(
      CONFIGURATION_STREAM,
      toBinary(ConfigurationRecordSchema, record),
    );
  }
}

describe('the configuration in force', () => {
  // Races, late copies, lost answers, expired records and foreign bytes, in any
  // order. A fresh process that reads the log after each of them must see the
  // version rise by one with each race, and never another configuration under
  // the same version: a venue would be served by a fleet that went back in time.
  it.prop(
    [fc.array(fc.constantFrom(...Object.values(Event)), {maxLength: 12})],
    {
      seed: 41,
      numRuns: 60,
    },
  )('rises by one with each race and never reverts', async events => {
    const operators = new Operators();
    let races = 0;
    let named = '';
    for (const event of events) {
      await operators.happens(event);
      const fold = await operators.read();
      races += event === Event.Race ? 1 : 0;
      expect(fold.version).toBe(races);
      expect(operators.accepted).toHaveLength(races);
      for (const publicationId of operators.accepted) {
        expect(fold.verdict(publicationId)?.accepted).toBe(true);
      }
      const name = fold.configuration?.organisations[0]?.name ?? '';
      if (event !== Event.Race) {
        expect(name).toBe(named);
      }
      named = name;
    }
  });
});

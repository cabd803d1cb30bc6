import {clone, create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
  ConfigurationCheckpointSchema,
  ConfigurationRecordSchema,
  PublicationVerdictSchema,
  type Configuration,
  type ConfigurationCheckpoint,
  type ConfigurationRecord,
  type Publication,
  type PublicationVerdict,
} from '@wisteriadeal/schema';
import {createHash} from 'node:crypto';

import {validateConfiguration} from './configuration-validation.js';

/**
 * Verdicts kept, so that a repeat after a lost answer stays ignored. At the
 * letter's 7,300 changes a day this covers more than three hours.
 */
export const REMEMBERED_PUBLICATIONS = 1_024;

/** Digest of a checkpoint: of its bytes with the digest empty. */
export function digestOfConfigurationCheckpoint(
  checkpoint: ConfigurationCheckpoint,
): string {
  const bare = clone(ConfigurationCheckpointSchema, checkpoint);
  bare.digest = '';
  return createHash('sha256')
    .update(toBinary(ConfigurationCheckpointSchema, bare))
    .digest('hex');
}

/**
 * Folds the stream `configuration`. A publication is accepted if it is valid and
 * names the version in force as its base; so of two racing operators one wins,
 * and the other is told what did. Versions only rise: nothing reverts.
 *
 * @example
 * ```ts
 * const fold = new ConfigurationFold();
 * const verdict = fold.apply(record.offset, record.payload);
 * ```
 */
export class ConfigurationFold {
  private next = 0;
  private inForce: Configuration | undefined;
  private currentVersion = 0;
  private readonly verdicts = new Map<string, PublicationVerdict>();

  /**
   * Starts from a checkpoint.
   *
   * @returns undefined where its digest does not match.
   */
  static fromCheckpoint(
    checkpoint: ConfigurationCheckpoint,
  ): ConfigurationFold | undefined {
    if (digestOfConfigurationCheckpoint(checkpoint) !== checkpoint.digest) {
      return undefined;
    }
    const fold = new ConfigurationFold();
    fold.next = checkpoint.throughOffset;
    fold.currentVersion = checkpoint.version;
    fold.inForce = checkpoint.configuration;
    for (const verdict of checkpoint.verdicts) {
      fold.verdicts.set(verdict.publicationId, verdict);
    }
    return fold;
  }

  /** The state covers all offsets below this one. */
  get nextOffset(): number {
    return this.next;
  }

  /** 0 before the first accepted publication. */
  get version(): number {
    return this.currentVersion;
  }

  /** The configuration in force; it must not be changed. */
  get configuration(): Configuration | undefined {
    return this.inForce;
  }

  /** The verdict on a publication, while it is remembered. */
  verdict(publicationId: string): PublicationVerdict | undefined {
    return this.verdicts.get(publicationId);
  }

  /**
   * Applies one record; bytes that are no record are skipped.
   *
   * @returns The verdict on a publication that was not seen before.
   */
  apply(offset: number, payload: Uint8Array): PublicationVerdict | undefined {
    let record: ConfigurationRecord;
    try {
      record = fromBinary(ConfigurationRecordSchema, payload);
    } catch {
      record = create(ConfigurationRecordSchema);
    }
    return this.applyRecord(offset, record);
  }

  /** Applies one decoded record. */
  applyRecord(
    offset: number,
    record: ConfigurationRecord,
  ): PublicationVerdict | undefined {
    if (offset < this.next) {
      return undefined;
    }
    this.next = offset + 1;
    return record.kind.case === 'publication'
      ? this.applyPublication(record.kind.value)
      : undefined;
  }

  /** A checkpoint of the state as it is. */
  toCheckpoint(): ConfigurationCheckpoint {
    const checkpoint = create(ConfigurationCheckpointSchema, {
      throughOffset: this.next,
      version: this.currentVersion,
      ...(this.inForce === undefined ? {} : {configuration: this.inForce}),
      verdicts: [...this.verdicts.values()],
    });
    checkpoint.digest = digestOfConfigurationCheckpoint(checkpoint);
    return checkpoint;
  }

  private applyPublication(
    publication: Publication,
  ): PublicationVerdict | undefined {
    if (this.verdicts.has(publication.publicationId)) {
      return undefined;
    }
    const reason = this.refusalReason(publication);
    if (reason === '') {
      this.currentVersion += 1;
      this.inForce = publication.configuration;
    }
    const verdict = create(PublicationVerdictSchema, {
      publicationId: publication.publicationId,
      accepted: reason === '',
      version: this.currentVersion,
      reason,
      operator: publication.operator,
    });
    this.remember(verdict);
    return verdict;
  }

  private refusalReason(publication: Publication): string {
    if (publication.publicationId === '') {
      return 'the publication has no identifier';
    }
    if (publication.configuration === undefined) {
      return 'the publication has no configuration';
    }
    if (publication.baseVersion !== this.currentVersion) {
      return `based on version ${publication.baseVersion}, but version ${this.currentVersion} is in force`;
    }
    const [problem] = validateConfiguration(publication.configuration);
    return problem === undefined
      ? ''
      : `${problem.path.join('.')}: ${problem.message}`;
  }

  private remember(verdict: PublicationVerdict): void {
    this.verdicts.set(verdict.publicationId, verdict);
    for (const publicationId of this.verdicts.keys()) {
      if (this.verdicts.size <= REMEMBERED_PUBLICATIONS) {
        return;
      }
      this.verdicts.delete(publicationId);
    }
  }
}

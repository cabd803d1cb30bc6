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
 * Number of verdicts kept, so that a publication repeated after a lost answer
 * is ignored. At the required 7,300 changes a day this covers more than three
 * hours.
 */
export const MAXIMUM_REMEMBERED_VERDICTS = 1_024;

/**
 * Returns the SHA-256 digest, in hexadecimal, of a checkpoint whose own digest
 * field is empty.
 */
export function digestOfConfigurationCheckpoint(
  checkpoint: ConfigurationCheckpoint,
): string {
  const withoutDigest = clone(ConfigurationCheckpointSchema, checkpoint);
  withoutDigest.digest = '';
  return createHash('sha256')
    .update(toBinary(ConfigurationCheckpointSchema, withoutDigest))
    .digest('hex');
}

/**
 * Folds the records of the stream `configuration`. A publication is accepted if
 * it is valid and its base version is the version in force. If two operators
 * publish concurrently, one is accepted; the verdict of the other names the
 * version in force. Versions only increase: a configuration is never reverted
 * to an earlier version number.
 *
 * @example
 * ```ts
 * const fold = new ConfigurationFold();
 * const verdict = fold.apply(record.offset, record.payload);
 * ```
 */
export class ConfigurationFold {
  private firstUnappliedOffset = 0;
  private activeConfiguration: Configuration | undefined;
  private currentVersion = 0;
  private readonly verdicts = new Map<string, PublicationVerdict>();

  /**
   * Restores the state of a checkpoint.
   *
   * @returns undefined if the digest does not match the checkpoint.
   */
  static fromCheckpoint(
    checkpoint: ConfigurationCheckpoint,
  ): ConfigurationFold | undefined {
    if (digestOfConfigurationCheckpoint(checkpoint) !== checkpoint.digest) {
      return undefined;
    }
    const fold = new ConfigurationFold();
    fold.firstUnappliedOffset = checkpoint.throughOffset;
    fold.currentVersion = checkpoint.version;
    fold.activeConfiguration = checkpoint.configuration;
    for (const verdict of checkpoint.verdicts) {
      fold.verdicts.set(verdict.publicationId, verdict);
    }
    return fold;
  }

  /**
   * Offset of the next record to apply; the state covers all offsets below it.
   */
  get nextOffset(): number {
    return this.firstUnappliedOffset;
  }

  /** The version in force; 0 before the first accepted publication. */
  get version(): number {
    return this.currentVersion;
  }

  /** The configuration in force. Callers must not modify it. */
  get configuration(): Configuration | undefined {
    return this.activeConfiguration;
  }

  /**
   * The verdict on a publication, or undefined if it is unknown or no longer
   * among the last `MAXIMUM_REMEMBERED_VERDICTS`.
   */
  verdict(publicationId: string): PublicationVerdict | undefined {
    return this.verdicts.get(publicationId);
  }

  /**
   * Decodes and applies one record. An undecodable record only advances
   * `nextOffset`.
   *
   * @returns The verdict, or undefined if the record carries no new
   *     publication.
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

  /** Applies one decoded record; a record below `nextOffset` is ignored. */
  applyRecord(
    offset: number,
    record: ConfigurationRecord,
  ): PublicationVerdict | undefined {
    if (offset < this.firstUnappliedOffset) {
      return undefined;
    }
    this.firstUnappliedOffset = offset + 1;
    return record.kind.case === 'publication'
      ? this.applyPublication(record.kind.value)
      : undefined;
  }

  /** Returns a checkpoint of the current state. */
  toCheckpoint(): ConfigurationCheckpoint {
    const checkpoint = create(ConfigurationCheckpointSchema, {
      throughOffset: this.firstUnappliedOffset,
      version: this.currentVersion,
      ...(this.activeConfiguration === undefined
        ? {}
        : {configuration: this.activeConfiguration}),
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
      this.activeConfiguration = publication.configuration;
    }
    const verdict = create(PublicationVerdictSchema, {
      publicationId: publication.publicationId,
      accepted: reason === '',
      version: this.currentVersion,
      reason,
      operator: publication.operator,
    });
    this.rememberVerdict(verdict);
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

  private rememberVerdict(verdict: PublicationVerdict): void {
    this.verdicts.set(verdict.publicationId, verdict);
    for (const publicationId of this.verdicts.keys()) {
      if (this.verdicts.size <= MAXIMUM_REMEMBERED_VERDICTS) {
        return;
      }
      this.verdicts.delete(publicationId);
    }
  }
}

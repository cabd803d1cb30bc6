import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {ConfigurationFold} from '@wisteriadeal/ledger';
import type {LogRecord} from '@wisteriadeal/platform';
import {
  ConfigurationRecordSchema,
  type Configuration,
  type ConfigurationRecord,
} from '@wisteriadeal/schema';

import {StreamReplica} from './stream-replica.js';

/** Name of the stream of configuration publications. */
export const CONFIGURATION_STREAM = 'configuration';

/** The folded state of the stream `configuration`. */
export class ConfigurationReplica extends StreamReplica {
  private state = new ConfigurationFold();
  private readonly listeners: (() => void)[] = [];

  constructor() {
    super(CONFIGURATION_STREAM);
  }

  override get nextOffset(): number {
    return this.state.nextOffset;
  }

  /**
   * Version of the configuration in force; 0 before the first accepted
   * publication.
   */
  get version(): number {
    return this.state.version;
  }

  /** The configuration in force. Callers must not modify it. */
  get configuration(): Configuration | undefined {
    return this.state.configuration;
  }

  /** Adds a listener that is called whenever the version in force changes. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  override restore(payload: Uint8Array, minimumOffset: number): boolean {
    let record: ConfigurationRecord;
    try {
      record = fromBinary(ConfigurationRecordSchema, payload);
    } catch {
      return false;
    }
    if (
      record.kind.case !== 'checkpoint' ||
      record.kind.value.throughOffset < minimumOffset ||
      record.kind.value.throughOffset < this.nextOffset
    ) {
      return false;
    }
    const restored = ConfigurationFold.fromCheckpoint(record.kind.value);
    if (restored === undefined) {
      return false;
    }
    this.replaceState(restored);
    return true;
  }

  override checkpoint(): Uint8Array {
    const value = this.state.toCheckpoint();
    return toBinary(
      ConfigurationRecordSchema,
      create(ConfigurationRecordSchema, {kind: {case: 'checkpoint', value}}),
    );
  }

  protected override fold(record: LogRecord): void {
    const before = this.version;
    this.state.apply(record.offset, record.payload);
    if (this.version !== before) {
      this.notify();
    }
  }

  private replaceState(restored: ConfigurationFold): void {
    const before = this.version;
    this.state = restored;
    this.recent.clear();
    if (this.version !== before) {
      this.notify();
    }
  }

  private notify(): void {
    this.listeners.forEach(listener => {
      listener();
    });
  }
}

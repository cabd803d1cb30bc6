import type {KeyedRecord} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {FleetConfiguration} from './configuration.js';
import type {Dialect} from './dialect.js';
import {KeyedTopicReader} from './keyed-follower.js';

/**
 * The configuration in force on this host. Versions only increase: an older
 * version that a slow or repeated read returns after a newer one is ignored.
 */
export class ConfigurationState extends KeyedTopicReader {
  private inForce: FleetConfiguration | undefined;
  private readonly listeners: ((configuration: FleetConfiguration) => void)[] =
    [];

  /** @param key Record key of the configuration. */
  constructor(
    private readonly key: string,
    private readonly dialect: Dialect,
    private readonly events: EventLog,
  ) {
    super();
  }

  /** The configuration in force; undefined before one was read. */
  get current(): FleetConfiguration | undefined {
    return this.inForce;
  }

  /** Adds a listener that is called for each version that comes into force. */
  onChange(listener: (configuration: FleetConfiguration) => void): void {
    this.listeners.push(listener);
  }

  override changed(record: KeyedRecord): void {
    if (record.key !== this.key || record.value === undefined) {
      return;
    }
    const configuration = this.dialect.configuration(record.value);
    if (configuration === undefined) {
      this.events.warn('configuration ignored', {
        offset: record.offset,
        reason: 'not a configuration',
      });
      return;
    }
    this.adopt(configuration, record.offset, record.value.length);
  }

  override replaced(records: readonly KeyedRecord[]): void {
    for (const record of records) {
      this.changed(record);
    }
  }

  override caughtUp(): void {
    // Nothing to do: a version stays in force until a newer one is read.
  }

  private adopt(
    configuration: FleetConfiguration,
    offset: number,
    bytes: number,
  ): void {
    const before = this.inForce;
    if (before !== undefined && configuration.version <= before.version) {
      return;
    }
    this.inForce = configuration;
    this.events.info('configuration in force', {
      version: configuration.version,
      before: before?.version,
      offset,
      bytes,
      routes: configuration.routes.length,
      organisations: configuration.organisations.length,
    });
    if (configuration.ignoredFields.length > 0) {
      this.events.warn('configuration fields ignored', {
        version: configuration.version,
        fields: configuration.ignoredFields.join(', '),
      });
    }
    for (const listener of this.listeners) {
      listener(configuration);
    }
  }
}

import {
  configurationTrust,
  ConfigurationTrust,
  type ConfigurationAge,
} from '@wisteriadeal/decisions';
import type {Clock, KeyedRecord} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {FleetConfiguration} from './configuration.js';
import type {Dialect} from './dialect.js';
import {KeyedTopicReader} from './keyed-follower.js';

/** Dependencies of `ConfigurationState`. */
export interface ConfigurationStateParts {
  /** Record key of the configuration. */
  readonly key: string;
  readonly dialect: Dialect;
  /** Time within which a version has to be in force, milliseconds. */
  readonly applyMilliseconds: number;
  /** Whether the store itself fails for the configuration's topic. */
  readonly isStoreOutage: () => boolean;
  readonly clock: Clock;
  readonly events: EventLog;
}

/**
 * The configuration in force on this host. Versions only increase: an older
 * version that a slow or repeated read returns after a newer one is ignored.
 */
export class ConfigurationState extends KeyedTopicReader {
  private inForce: FleetConfiguration | undefined;
  private readonly listeners: ((configuration: FleetConfiguration) => void)[] =
    [];

  private pendingSince: number | undefined;
  private confirmedAt = -Infinity;
  private observedTrust = ConfigurationTrust.Current;

  constructor(private readonly parts: ConfigurationStateParts) {
    super();
  }

  /** How far this host may rely on the configuration in force. */
  get trust(): ConfigurationTrust {
    return configurationTrust(this.age, this.parts.applyMilliseconds);
  }

  /** Logs changes of the trust; to be called several times a second. */
  observeTrust(): void {
    const {trust, age} = this;
    if (this.inForce === undefined || trust === this.observedTrust) {
      return;
    }
    this.parts.events.info('configuration trust changed', {
      from: this.observedTrust,
      to: trust,
      version: this.inForce.version,
      pendingMilliseconds:
        age.pendingMilliseconds && Math.round(age.pendingMilliseconds),
      unconfirmedMilliseconds: Math.round(age.unconfirmedMilliseconds),
      isStoreOutage: age.isStoreOutage,
    });
    this.observedTrust = trust;
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
    if (record.key !== this.parts.key || record.value === undefined) {
      return;
    }
    const configuration = this.parts.dialect.configuration(record.value);
    if (configuration === undefined) {
      this.parts.events.warn('configuration ignored', {
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

  override caughtUp(_asOf: number, answeredAt: number): void {
    this.confirmedAt = answeredAt;
  }

  /**
   * Records since when the host has known of records that it has not read.
   *
   * @param since Monotonic clock, milliseconds; undefined if it knows of none.
   */
  setPendingSince(since: number | undefined): void {
    this.pendingSince = since;
  }

  private get age(): ConfigurationAge {
    const now = this.now();
    return {
      pendingMilliseconds:
        this.pendingSince === undefined ? undefined : now - this.pendingSince,
      unconfirmedMilliseconds: now - this.confirmedAt,
      isStoreOutage: this.parts.isStoreOutage(),
    };
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
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
    this.parts.events.info('configuration in force', {
      version: configuration.version,
      before: before?.version,
      offset,
      bytes,
      routes: configuration.routes.length,
      organisations: configuration.organisations.length,
    });
    if (configuration.ignoredFields.length > 0) {
      this.parts.events.warn('configuration fields ignored', {
        version: configuration.version,
        fields: configuration.ignoredFields.join(', '),
      });
    }
    for (const listener of this.listeners) {
      listener(configuration);
    }
  }
}

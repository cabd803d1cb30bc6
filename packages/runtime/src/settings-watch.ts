import {readFileSync} from 'node:fs';

import type {Result} from './results.js';
import type {SettingsProblem} from './settings-file.js';

/**
 * How often the file is compared with what was read last. The users' platform
 * changes it at times without a signal and allows 2 s until a change is in force.
 */
export const SETTINGS_POLL_MILLISECONDS = 1_000;

/** Where settings that are read again go. */
export interface SettingsTaker<Settings> {
  /** Takes settings that fit. */
  reload(settings: Settings): void;
  /** Is told why settings don't fit; those in force stay. */
  reject(problems: readonly SettingsProblem[]): void;
}

/**
 * Reads settings again when a signal says that they have changed, or their file
 * differs. A signal that comes while the process still starts is kept until there is
 * somebody to take the settings: without a handler it would end the process.
 */
export class SettingsWatch<Settings> {
  private taker: SettingsTaker<Settings> | undefined;
  private isSignalled = false;
  private text: string | undefined;

  /** @param load Reads and checks the file. */
  constructor(
    private readonly path: string,
    private readonly load: () => Result<Settings, readonly SettingsProblem[]>,
  ) {
    this.text = this.read();
  }

  /** From now on changes go here; one that was signalled before goes at once. */
  begin(taker: SettingsTaker<Settings>): void {
    this.taker = taker;
    if (this.isSignalled) {
      this.signalled();
    }
  }

  /** The file has changed, as a signal tells. */
  signalled(): void {
    this.isSignalled = true;
    this.text = this.read();
    if (this.taker === undefined) {
      return;
    }
    const settings = this.load();
    if (settings.err) {
      this.taker.reject(settings.val);
    } else {
      this.taker.reload(settings.val);
    }
  }

  /** Looks whether the file has changed without a signal. */
  poll(): void {
    const text = this.read();
    if (text !== undefined && text !== this.text) {
      this.signalled();
    }
  }

  private read(): string | undefined {
    try {
      return readFileSync(this.path, 'utf8');
    } catch {
      // While the file is replaced there may be none; the next look finds it.
      return undefined;
    }
  }
}
